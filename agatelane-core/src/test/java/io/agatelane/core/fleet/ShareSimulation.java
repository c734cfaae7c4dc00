package io.agatelane.core.fleet;

import io.agatelane.core.fleet.ServiceDemand.Key;
import io.agatelane.core.fleet.command.EngineShares;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulates routers in front of engines that do a fixed amount of work per second and refuse what would wait for longer
 * than 400 ms. Routers know the backlog and each other's demand from digests that are 0.2 to 1 s old.
 */
final class ShareSimulation {
    static final int ACCOUNTS = 16;
    static final double CAPACITY_PER_MILLI = 30;
    private static final int SERVICE = 7;
    private static final int REPORTED_KEYS = 8;
    private static final double MAX_BACKLOG_MILLIS = 400;
    private static final int DIGEST_MILLIS = 200;

    // Arrivals and responses by account and priority, in the last run.
    final int[][] asked = new int[ACCOUNTS][2];
    final int[][] served = new int[ACCOUNTS][2];
    double workDone;
    // Times that refused callers try again, 60 ms later each.
    int repeats;

    private final SplittableRandom random;
    private final List<Router> routers = new ArrayList<>();
    private final List<Runnable>[] later;
    private double backlog;
    private int inFlight;
    private long now;

    private final class Router {
        private final EngineShares shares = new EngineShares(SERVICE, random.split());
        private final List<List<ServiceDemand>> reports = new ArrayList<>();
        private final Map<Key, ServiceDemand> others = new HashMap<>();
        private final int phase = random.nextInt(DIGEST_MILLIS);
        private double knownBacklog;

        private void exchange() {
            reports.add(0, shares.demands(REPORTED_KEYS, 0, inFlight / routers.size(), now));
            if (reports.size() > 5) {
                reports.remove(5);
            }
            others.clear();
            knownBacklog = backlog;
            for (Router other : routers) {
                int age = random.nextInt(4);
                if (other != this && other.reports.size() > age) {
                    other.reports.get(age).forEach(demand -> others.merge(demand.key(), demand, ServiceDemand::plus));
                }
            }
        }

        private void arrive(int account, int priority, double work, int repeatsLeft) {
            Key key = shares.key(account + 1, priority);
            boolean refused = shares.offer(key, work, others, 0, inFlight / routers.size(), now)
                    .isPresent();
            if (!refused && knownBacklog > MAX_BACKLOG_MILLIS * CAPACITY_PER_MILLI) {
                shares.recordNoRoom(now);
                refused = true;
            }
            if (!refused) {
                shares.recordAdmitted(key, work, now);
                served[account][priority]++;
                backlog += work;
            } else if (repeatsLeft > 0) {
                later[(int) ((now + 60) % later.length)].add(() -> arrive(account, priority, work, repeatsLeft - 1));
            }
        }
    }

    @SuppressWarnings("unchecked")
    ShareSimulation(int routerCount, long seed) {
        random = new SplittableRandom(seed);
        later = new List[100];
        for (int i = 0; i < later.length; i++) {
            later[i] = new ArrayList<>();
        }
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router());
        }
    }

    /** Runs for a time, with the load of each account in multiples of the capacity; half of it is urgent. */
    void run(long millis, double[] loads) {
        for (int account = 0; account < ACCOUNTS; account++) {
            asked[account] = new int[2];
            served[account] = new int[2];
        }
        workDone = 0;
        for (long end = now + millis; now < end; now++) {
            double done = Math.min(backlog, CAPACITY_PER_MILLI);
            backlog -= done;
            workDone += done / CAPACITY_PER_MILLI / millis;
            inFlight = (int) (backlog / 100);
            routers.stream()
                    .filter(router -> now % DIGEST_MILLIS == router.phase)
                    .forEach(Router::exchange);
            List<Runnable> due = List.copyOf(later[(int) (now % later.length)]);
            later[(int) (now % later.length)].clear();
            due.forEach(Runnable::run);
            for (int account = 0; account < ACCOUNTS; account++) {
                for (int priority = 0; priority < 2; priority++) {
                    // Urgent requests are short ones of 20 ms, the others take 200 ms.
                    double work = priority == 0 ? 20 : 200;
                    if (random.nextDouble() < loads[account] / 2 * CAPACITY_PER_MILLI / work) {
                        asked[account][priority]++;
                        routers.get(random.nextInt(routers.size())).arrive(account, priority, work, repeats);
                    }
                }
            }
        }
    }

    double servedShare(int account, int priority) {
        return served[account][priority] / (double) asked[account][priority];
    }

    double servedShare(int priority) {
        int all = 0;
        int done = 0;
        for (int account = 0; account < ACCOUNTS; account++) {
            all += asked[account][priority];
            done += served[account][priority];
        }
        return done / (double) all;
    }
}
