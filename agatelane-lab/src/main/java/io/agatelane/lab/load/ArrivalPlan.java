package io.agatelane.lab.load;

import io.agatelane.lab.engine.TokenSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates all requests of a run from the workload and its seed before the first one is sent. */
public final class ArrivalPlan {
    private final Workload workload;
    private final int accountCount;
    private final UniformRandomProvider random;
    private final Map<String, String> textsByPath = new HashMap<>();

    private ArrivalPlan(Workload workload, int accountCount) {
        this.workload = workload;
        this.accountCount = accountCount;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(workload.seed());
    }

    /** Samples the arrivals of a Poisson process whose rate follows the workload's steps. */
    public static List<Arrival> of(Workload workload, int accountCount) {
        return new ArrivalPlan(workload, accountCount).sampleArrivals();
    }

    private List<Arrival> sampleArrivals() {
        List<Arrival> arrivals = new ArrayList<>();
        double millis = 0;
        while (true) {
            millis += -Math.log(1 - random.nextDouble()) * 1_000 / workload.rateAt(millis);
            if (millis >= workload.durationMillis()) {
                return arrivals;
            }
            arrivals.add(sampleArrival(arrivals.size(), millis));
        }
    }

    private Arrival sampleArrival(int index, double millis) {
        WorkloadClass workloadClass = sampleClass();
        int account = sampleZipf(accountCount, workload.accountSkew());
        String key = workload.name() + "-" + workload.seed() + "-" + index;
        List<String> messages = new ArrayList<>();
        if (!workloadClass.isBooking()) {
            StringBuilder path = new StringBuilder(workloadClass.model());
            for (PromptLevel level : workloadClass.levels()) {
                path.append('/').append(level.name()).append(sampleZipf(level.count(), level.skew()));
                messages.add(textsByPath.computeIfAbsent(path.toString(), name -> textOf(name, level.tokens())));
            }
            messages.add(textOf(key, workloadClass.questionTokens()));
        }
        return new Arrival(index, millis, workloadClass, account, messages, key);
    }

    private WorkloadClass sampleClass() {
        double totalWeight =
                workload.classes().stream().mapToDouble(WorkloadClass::share).sum();
        double remainingWeight = random.nextDouble() * totalWeight;
        for (WorkloadClass candidate : workload.classes()) {
            remainingWeight -= candidate.share();
            if (remainingWeight < 0) {
                return candidate;
            }
        }
        return workload.classes().get(workload.classes().size() - 1);
    }

    /** Samples an index below {@code count}; index i has the weight (i + 1)^-skew. */
    private int sampleZipf(int count, double skew) {
        double totalWeight = 0;
        for (int i = 1; i <= count; i++) {
            totalWeight += Math.pow(i, -skew);
        }
        double remainingWeight = random.nextDouble() * totalWeight;
        for (int i = 1; i <= count; i++) {
            remainingWeight -= Math.pow(i, -skew);
            if (remainingWeight < 0) {
                return i - 1;
            }
        }
        return count - 1;
    }

    private static String textOf(String name, int tokens) {
        return TokenSource.of("text", "", name).text(tokens);
    }
}
