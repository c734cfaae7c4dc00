package io.agatelane.lab.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.agatelane.lab.http.BadRequestException;
import java.nio.file.Path;
import java.util.List;

/**
 * A workload: the arrival rate over time and the mix of requests.
 *
 * @param accountSkew exponent of the Zipf distribution over the client accounts
 */
public record Workload(
        String name,
        long seed,
        long durationMillis,
        double requestsPerSecond,
        double accountSkew,
        List<RateStep> rateSteps,
        List<WorkloadClass> classes) {
    public Workload {
        rateSteps = rateSteps == null ? List.of() : List.copyOf(rateSteps);
        classes = classes == null ? List.of() : List.copyOf(classes);
    }

    /**
     * Reads a workload file, which is JSON with comments.
     *
     * @throws BadRequestException when the file is not a workload
     */
    public static Workload read(Path file) {
        try {
            Workload workload = JsonFiles.mapper().treeToValue(JsonFiles.read(file), Workload.class);
            if (workload.classes().isEmpty() || workload.requestsPerSecond() <= 0) {
                throw new BadRequestException(file + ": classes and requestsPerSecond are required");
            }
            return workload;
        } catch (JsonProcessingException e) {
            throw new BadRequestException(file + ": " + e.getOriginalMessage());
        }
    }

    public Workload withSeed(long newSeed) {
        return new Workload(name, newSeed, durationMillis, requestsPerSecond, accountSkew, rateSteps, classes);
    }

    public Workload withRate(double newRequestsPerSecond) {
        return new Workload(name, seed, durationMillis, newRequestsPerSecond, accountSkew, rateSteps, classes);
    }

    /** Returns a copy with only the given classes, each of which arrives as often as before. */
    public Workload withClasses(List<WorkloadClass> newClasses) {
        double retainedShare =
                newClasses.stream().mapToDouble(WorkloadClass::share).sum();
        double totalShare = classes.stream().mapToDouble(WorkloadClass::share).sum();
        return new Workload(
                name,
                seed,
                durationMillis,
                requestsPerSecond * retainedShare / totalShare,
                accountSkew,
                rateSteps,
                newClasses);
    }

    /** Returns a copy with other rate steps. */
    public Workload withRateSteps(List<RateStep> newRateSteps) {
        return new Workload(name, seed, durationMillis, requestsPerSecond, accountSkew, newRateSteps, classes);
    }

    public Workload withDuration(long newDurationMillis) {
        return new Workload(name, seed, newDurationMillis, requestsPerSecond, accountSkew, rateSteps, classes);
    }

    double rateAt(double millis) {
        double factor = 1;
        for (RateStep step : rateSteps) {
            if (step.covers(millis)) {
                factor = step.factor();
            }
        }
        return requestsPerSecond * factor;
    }
}
