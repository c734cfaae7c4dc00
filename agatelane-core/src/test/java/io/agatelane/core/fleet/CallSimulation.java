package io.agatelane.core.fleet;

import io.agatelane.core.fleet.command.CallConcurrency;
import io.agatelane.core.fleet.command.CallConcurrency.Action;
import io.agatelane.core.fleet.command.CallConcurrency.Call;
import io.agatelane.core.fleet.command.CallConcurrency.Decision;
import io.agatelane.core.fleet.command.CallConcurrency.View;
import io.agatelane.core.fleet.command.DecayedCallDurations;
import io.agatelane.core.fleet.command.ServiceShares;
import io.agatelane.core.fleet.query.Candidate;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;

/**
 * Simulates routers that share three upstreams with six slots each, a queue of one and a half times the slots, and calls
 * of 21 ms, in steps of one millisecond. Routers learn each other's demand from digests that are 0.2 to 1 s old.
 */
final class CallSimulation {
    static final int UPSTREAMS = 3;
    static final int SLOTS = 6;
    static final int ACCOUNTS = 16;
    private static final long SERVICE = 7;
    private static final int REPORTED_KEYS = 8;
    static final int QUEUE = 9;
    static final int CALL_MILLIS = 21;
    static final long OBJECTIVE_MILLIS = Integer.getInteger("obj", 182);
    static final long DEADLINE_MILLIS = Integer.getInteger("dl", 849);
    static final double CAPACITY_PER_MILLI = UPSTREAMS * SLOTS / (double) CALL_MILLIS;

    private final int routers;
    private final SplittableRandom random;
    final Router[] all;
    private final Upstream[] upstreams = new Upstream[UPSTREAMS];
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingInt(Event::sequence));
    private int sequence;
    private long now;
    // Share of the first account in the calls; the others have equal shares.
    double firstAccountShare = 1.0 / ACCOUNTS;

    // Routers get only the digests of their own group.
    final int[] groupOf;
    // Totals of the last run.
    private int arrivals;
    private int upstreamRefusals;
    private int askedByOthers;
    private int servedOfOthers;
    private double busySlotMillis;
    private long countedMillis;

    private record Report(long atMillis, List<ServiceDemand> demands, int[] inFlight) {}

    private record Event(long atMillis, int sequence, Runnable run) {}

    // Compared by identity, as the router's requests are.
    private static final class Request {
        private final boolean ofFirstAccount;

        private Request(boolean ofFirstAccount) {
            this.ofFirstAccount = ofFirstAccount;
        }
    }

    private final class Upstream {
        final FleetUpstream entry;
        int running;
        final Deque<Runnable> waiting = new ArrayDeque<>();

        Upstream(int index) {
            entry = new FleetUpstream("u" + index, 1, "calls", "10.0.0.1:80", "z" + index, SLOTS, false, Map.of());
        }

        boolean accept(Runnable end) {
            if (running < SLOTS) {
                running++;
                at(now + CALL_MILLIS, () -> end(end));
                return true;
            }
            if (waiting.size() < QUEUE) {
                waiting.add(end);
                return true;
            }
            return false;
        }

        private void end(Runnable ended) {
            running--;
            ended.run();
            if (!waiting.isEmpty()) {
                Runnable next = waiting.poll();
                running++;
                at(now + CALL_MILLIS, () -> end(next));
            }
        }
    }

    final class Router {
        final int index;
        CallConcurrency<Request> calls;
        ServiceShares shares;
        // Own demand by digest, newest last.
        final List<Report> reported = new ArrayList<>();
        final int[] inFlight = new int[UPSTREAMS];
        final Map<ServiceDemand.Key, ServiceDemand> others = new HashMap<>();
        int reporting = 1;
        double[] othersInFlight = new double[UPSTREAMS];

        Router(int index) {
            this.index = index;
            restart();
        }

        void restart() {
            calls = new CallConcurrency<>(new DecayedCallDurations(40), random.split());
            shares = new ServiceShares(SERVICE, random.split());
            others.clear();
            reporting = 1;
            othersInFlight = new double[UPSTREAMS];
        }

        View view() {
            List<Candidate> candidates = new ArrayList<>();
            for (int i = 0; i < UPSTREAMS; i++) {
                UpstreamEstimate estimate =
                        new UpstreamEstimate(inFlight[i] + othersInFlight[i], PrefillBacklog.EMPTY, 100, 0, 0, 0);
                candidates.add(new Candidate(upstreams[i].entry, estimate, 0));
            }
            return new View(candidates, shares.admittedOf(others) / 1_000, reporting, routers);
        }

        void arrive() {
            arrivals++;
            boolean isFirst = random.nextDouble() < firstAccountShare;
            Request request = new Request(isFirst);
            askedByOthers += isFirst ? 0 : 1;
            ServiceDemand.Key key = shares.key(isFirst ? 1 : 2 + random.nextInt(ACCOUNTS - 1), 2);
            if (shares.offer(key, calls.meanMillis(), others, calls.capacity(view(), now), now)
                    .isEmpty()) {
                Call<Request> call =
                        new Call<>(request, 2, now + OBJECTIVE_MILLIS, now + DEADLINE_MILLIS, shares.isPreferred(key));
                apply(request, calls.offer(call, view(), now));
            }
        }

        void poll() {
            Optional<CallConcurrency.Released<Request>> next = calls.next(view(), now);
            while (next.isPresent()) {
                apply(next.get().request(), next.get().decision());
                next = calls.next(view(), now);
            }
        }

        void apply(Request request, Decision decision) {
            if (decision.action() == Action.SEND || decision.action() == Action.SEND_FREELY) {
                int target = decision.upstream()
                        .map(candidate ->
                                Integer.parseInt(candidate.upstream().id().substring(1)))
                        .orElseGet(this::leastLoaded);
                send(request, target);
            }
        }

        int leastLoaded() {
            int best = 0;
            for (int i = 1; i < UPSTREAMS; i++) {
                if (inFlight[i] + othersInFlight[i] < inFlight[best] + othersInFlight[best]) {
                    best = i;
                }
            }
            return best;
        }

        void send(Request request, int target) {
            inFlight[target]++;
            CallConcurrency<Request> sender = calls;
            sender.recordSent();
            long sentMillis = now;
            long delay = index % UPSTREAMS == target ? 1 : 4;
            Upstream upstream = upstreams[target];
            at(now + delay, () -> {
                boolean accepted = upstream.accept(() -> {
                    int running = upstream.running;
                    int waiting = upstream.waiting.size();
                    at(now + delay, () -> {
                        inFlight[target]--;
                        sender.recordEnded();
                        servedOfOthers += request.ofFirstAccount ? 0 : 1;
                        sender.recordAnswered(upstream.entry, now - sentMillis);
                        sender.recordReport(upstream.entry, running, waiting, now);
                        poll();
                    });
                });
                if (!accepted) {
                    upstreamRefusals++;
                    at(now + delay, () -> {
                        inFlight[target]--;
                        sender.recordEnded();
                        sender.recordRefusal(upstream.entry, now);
                        poll();
                    });
                }
            });
        }
    }

    CallSimulation(int routers, long seed) {
        this.routers = routers;
        random = new SplittableRandom(seed);
        groupOf = new int[routers];
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams[i] = new Upstream(i);
        }
        all = new Router[routers];
        for (int i = 0; i < routers; i++) {
            all[i] = new Router(i);
            int phase = random.nextInt(200);
            Router router = all[i];
            at(phase, () -> digest(router));
        }
    }

    private void at(long millis, Runnable run) {
        events.add(new Event(millis, sequence++, run));
    }

    // A router reports its demand every 200 ms; the others know it 0 to 800 ms later.
    private void digest(Router router) {
        int keys = router.calls.capacity(router.view(), now).isPresent() ? REPORTED_KEYS : 0;
        router.reported.add(
                new Report(now, router.shares.demands(keys, router.calls.waiting(), 0, now), router.inFlight.clone()));
        if (router.reported.size() > 10) {
            router.reported.remove(0);
        }
        receive(router);
        at(now + 200, () -> digest(router));
    }

    private void receive(Router router) {
        router.others.clear();
        router.othersInFlight = new double[UPSTREAMS];
        router.reporting = 1;
        for (Router other : all) {
            if (other == router || groupOf[other.index] != groupOf[router.index]) {
                continue;
            }
            int age = 200 + random.nextInt(600);
            for (int i = other.reported.size() - 1; i >= 0; i--) {
                Report report = other.reported.get(i);
                if (report.atMillis() <= now - age) {
                    if (now - report.atMillis() > 3_000) {
                        break;
                    }
                    router.reporting++;
                    report.demands().forEach(demand -> router.others.merge(demand.key(), demand, ServiceDemand::plus));
                    for (int u = 0; u < UPSTREAMS; u++) {
                        router.othersInFlight[u] += report.inFlight()[u];
                    }
                    break;
                }
            }
        }
    }

    private void reset() {
        arrivals = 0;
        upstreamRefusals = 0;
        askedByOthers = 0;
        servedOfOthers = 0;
        busySlotMillis = 0;
        countedMillis = 0;
    }

    /** Runs for a time, which the figures are then about, with a rate of arrivals per millisecond for each router. */
    void run(long millis, IntToDoubleFunction ratePerMilli) {
        reset();
        long end = now + millis;
        for (; now < end; now++) {
            while (!events.isEmpty() && events.peek().atMillis() <= now) {
                events.poll().run().run();
            }
            for (Router router : all) {
                double rate = ratePerMilli.applyAsDouble(router.index);
                if (rate > 0 && random.nextDouble() < rate) {
                    router.arrive();
                }
                if (router.calls.waiting() > 0) {
                    router.poll();
                }
            }
            for (Upstream upstream : upstreams) {
                busySlotMillis += upstream.running;
            }
            countedMillis++;
        }
    }

    /** Responses to all accounts but the first, as a share of their calls. */
    double servedShareOfOthers() {
        return servedOfOthers / (double) askedByOthers;
    }

    /** Mean share of the slots that were in use. */
    double slotsInUse() {
        return busySlotMillis / countedMillis / (UPSTREAMS * SLOTS);
    }

    /** Refusals of the upstreams, as a share of the calls that arrived at the routers. */
    double refusedByUpstreams() {
        return upstreamRefusals / (double) Math.max(1, arrivals);
    }
}
