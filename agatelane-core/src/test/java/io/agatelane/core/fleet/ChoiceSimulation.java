package io.agatelane.core.fleet;

import io.agatelane.core.fleet.SimulatedEngine.Job;
import io.agatelane.core.fleet.command.NormalDuration;
import io.agatelane.core.fleet.command.PeerLoads;
import io.agatelane.core.fleet.command.PrefillInterference;
import io.agatelane.core.fleet.command.UpstreamLoad;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.CandidateSampler;
import io.agatelane.core.fleet.query.ChoiceSettings;
import io.agatelane.core.fleet.query.PrefixLocator;
import io.agatelane.core.fleet.query.PromptRequest;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.core.fleet.query.UpstreamChooser;
import io.agatelane.core.hash.Rendezvous;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plays short and long prompts, whose sizes differ by a factor of ten, on engines of three speeds that are slowed at
 * times. Each router knows its own requests and reports of the others that are 0.2 to 1 s old.
 */
final class ChoiceSimulation {
    /** Who chooses the engine. */
    enum Policy {
        /** The choice before speeds and interference were known. */
        BASELINE,
        CURRENT,
        /** The engine with the earliest first token, by the true state of all engines. */
        ORACLE
    }

    private static final EngineProfile PROFILE = new EngineProfile(32, 166_204, 18_432, 740_000);
    private static final int PIECE_TOKENS = 4_096;
    private static final double TOKENS_PER_MILLI = 61.4;
    private static final double[] DURATION_FACTORS = {0.6, 1, 1.6};
    private static final double DISTURBED_SHARE = 0.15;
    private static final double DISTURBED_FACTOR = 2.5;
    private static final int DISTURBANCE_MILLIS = 600;
    private static final int REPORT_MILLIS = 200;
    private static final int MIN_AGE_MILLIS = 200;
    private static final int MAX_AGE_MILLIS = 1_000;
    private static final int SHORT_TOKENS = 383;
    private static final int LONG_TOKENS = 3_830;
    private static final double PERCENT = 100;
    private static final int FORMER_SAMPLE = 3;
    private static final int WARM_UP_MILLIS = 5_000;
    private static final int RUN_MILLIS = 15_000;

    private final Policy policy;
    private final UniformRandomProvider random;
    private final List<Router> routers = new ArrayList<>();
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final double[] slowness;
    private final List<Candidate> upstreams = new ArrayList<>();
    private final List<Job> jobs = new ArrayList<>();
    private final List<Sent> inFlight = new ArrayList<>();
    private final UpstreamChooser chooser = new UpstreamChooser(new ChoiceSettings("z", 0));

    private static final class Router {
        private final UpstreamLoad[] loads;
        private final PeerLoads peers = new PeerLoads();
        private final NormalDuration normal = new NormalDuration();
        private final PrefillInterference interference = new PrefillInterference();
        private final Deque<Map<Long, PeerLoad>> unanswered = new ArrayDeque<>();

        private Router(int engines) {
            loads = new UpstreamLoad[engines];
            for (int engine = 0; engine < engines; engine++) {
                loads[engine] = new UpstreamLoad();
            }
        }
    }

    private record Sent(Job job, Router router, int engine, RequestWork work, Optional<UpstreamChoice> choice) {}

    ChoiceSimulation(Policy policy, int routerCount, int engineCount, long seed) {
        this.policy = policy;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.slowness = new double[engineCount];
        for (int engine = 0; engine < engineCount; engine++) {
            engines.add(new SimulatedEngine(PROFILE.slots(), PROFILE.cacheTokens(), PIECE_TOKENS, TOKENS_PER_MILLI)
                    .withPrefillInOrderOfAdmission());
            upstreams.add(FleetFixtures.candidate("e" + engine, "z", 1, UpstreamEstimate.IDLE));
        }
        for (int router = 0; router < routerCount; router++) {
            routers.add(new Router(engineCount));
        }
    }

    /** Runs and returns the times to the first token, in order. */
    List<Double> run(double utilisation) {
        // Half of the work is short prompts.
        double perMilli = utilisation * engines.size() * TOKENS_PER_MILLI / 2;
        for (int now = 0; now < RUN_MILLIS; now++) {
            if (now % DISTURBANCE_MILLIS == 0) {
                disturb();
            }
            if (now % REPORT_MILLIS == 0) {
                report(now);
            }
            for (SimulatedEngine engine : engines) {
                engine.advance(now);
            }
            observe(now);
            arrive(now, perMilli / SHORT_TOKENS, true);
            arrive(now, perMilli / LONG_TOKENS, false);
        }
        return jobs.stream()
                .filter(job -> job.arrivedMillis >= WARM_UP_MILLIS)
                .map(job ->
                        (Double.isNaN(job.firstTokenMillis) ? RUN_MILLIS : job.firstTokenMillis) - job.arrivedMillis)
                .sorted()
                .toList();
    }

    private void disturb() {
        for (int engine = 0; engine < engines.size(); engine++) {
            slowness[engine] = random.nextDouble() < DISTURBED_SHARE ? DISTURBED_FACTOR : 1;
            engines.get(engine)
                    .setDurationFactor(slowness[engine] * DURATION_FACTORS[engine % DURATION_FACTORS.length]);
        }
    }

    // Each router gets the sum over all routers, without its own part, at a random age.
    private void report(int now) {
        PeerLoads relay = new PeerLoads();
        List<Map<Long, PeerLoad>> own = new ArrayList<>();
        for (int router = 0; router < routers.size(); router++) {
            Map<Long, PeerLoad> loads = new HashMap<>();
            for (int engine = 0; engine < engines.size(); engine++) {
                loads.put((long) engine, routers.get(router).loads[engine].digest(engine, now));
            }
            own.add(loads);
            relay.update("r" + router, 1, 1, List.copyOf(loads.values()), now);
        }
        Map<Long, PeerLoad> sum = new HashMap<>();
        relay.sumForRelay(EnumSet.allOf(PeerLoads.Source.class), List.of(), now)
                .forEach(load -> sum.putIfAbsent(load.upstream(), load));
        for (int router = 0; router < routers.size(); router++) {
            Map<Long, PeerLoad> others = new HashMap<>();
            Map<Long, PeerLoad> part = own.get(router);
            sum.forEach((upstream, load) -> others.put(upstream, load.minus(part.get(upstream))));
            Router receiver = routers.get(router);
            receiver.unanswered.add(others);
            int age = MIN_AGE_MILLIS + random.nextInt(MAX_AGE_MILLIS - MIN_AGE_MILLIS);
            while (receiver.unanswered.size() > 1 + age / REPORT_MILLIS) {
                receiver.unanswered.remove();
            }
            long ageMillis = (receiver.unanswered.size() - 1L) * REPORT_MILLIS;
            List<PeerLoad> received = receiver.unanswered.peek().values().stream()
                    .map(load -> load.olderBy(ageMillis))
                    .toList();
            receiver.peers.update(
                    "relay",
                    PeerLoads.Source.RELAY,
                    1,
                    new PeerLoads.Part(now, UpstreamRange.ALL, ageMillis, received),
                    now);
        }
    }

    private void arrive(int now, double perMilli, boolean isShort) {
        for (double expected = perMilli; expected > 0; expected--) {
            if (random.nextDouble() < expected) {
                Job job = isShort
                        ? new Job(jobs.size(), true, 0, now, size(SHORT_TOKENS), 9)
                        : new Job(jobs.size(), false, 3, now, size(LONG_TOKENS), 24);
                jobs.add(job);
                send(job, routers.get(random.nextInt(routers.size())), now);
            }
        }
    }

    private int size(int usual) {
        return (int) (usual * (0.7 + 0.6 * random.nextDouble()));
    }

    private void send(Job job, Router router, int now) {
        RequestWork work = new RequestWork(job.priority, job.promptTokens / TOKENS_PER_MILLI, job.promptTokens);
        Optional<UpstreamChoice> choice =
                policy == Policy.CURRENT ? Optional.of(choose(job, router, now)) : Optional.empty();
        int engine =
                switch (policy) {
                    case CURRENT -> indexOf(choice.get().candidate());
                    case BASELINE -> baseline(job, router, now);
                    case ORACLE -> oracle(job);
                };
        router.loads[engine].recordSent(job, work, now);
        engines.get(engine).send(job);
        inFlight.add(new Sent(job, router, engine, work, choice));
    }

    private UpstreamChoice choose(Job job, Router router, int now) {
        Prompt prompt = new Prompt(
                FleetFixtures.MODEL,
                List.of(new PromptPart("own", job.promptTokens)),
                job.promptTokens,
                job.outputTokens);
        List<Candidate> candidates = candidates(job, router, now);
        PrefixLocator locator = new PrefixLocator(
                new PlacementIndex(), prompt, PROFILE, Optional.empty(), Optional.empty(), candidates);
        PromptRequest request = new PromptRequest(
                prompt, PROFILE, job.priority, 1, 1_000, TOKENS_PER_MILLI, router.interference.share());
        return chooser.chooseForPrompt(candidates, request, locator).orElseThrow();
    }

    private List<Candidate> candidates(Job job, Router router, int now) {
        List<Candidate> all = new ArrayList<>();
        for (int engine = 0; engine < engines.size(); engine++) {
            PeerTotal peers =
                    policy == Policy.CURRENT ? router.peers.expected(engine, now) : router.peers.total(engine, now);
            UpstreamEstimate estimate = router.loads[engine].estimate(peers, now);
            all.add(new Candidate(upstreams.get(engine).upstream(), estimate, 1));
        }
        if (routers.size() <= CandidateSampler.MAX_ROUTERS_WITHOUT_SAMPLING) {
            return all;
        }
        return policy == Policy.CURRENT
                ? new CandidateSampler("z", 1, "v" + routers.indexOf(router)).sampleForRequest(all, "r" + job.number)
                : formerSample(all, "r" + job.number);
    }

    private static List<Candidate> formerSample(List<Candidate> all, String requestId) {
        long hash = Rendezvous.hash(requestId);
        return all.stream()
                .sorted(Comparator.comparingLong(candidate -> Rendezvous.weight(
                        hash, Rendezvous.hash(candidate.upstream().id()))))
                .limit(FORMER_SAMPLE)
                .toList();
    }

    // The expected time of the choice before: without speeds, without less urgent work, with a constant slot time.
    private int baseline(Job job, Router router, int now) {
        Candidate best = candidates(job, router, now).stream()
                .min(Comparator.comparingDouble(candidate -> {
                    UpstreamEstimate load = candidate.estimate();
                    ReportedSlowness reported = router.loads[indexOf(candidate)]
                            .digest(0, now)
                            .pace()
                            .slowness();
                    double slots = PROFILE.slots();
                    double queue = load.backlog().millisAhead(job.priority)
                            + Math.max(0, load.requests() + 1 - slots) * 120 / slots
                            + load.requests() / slots * 20;
                    return (queue + job.promptTokens / TOKENS_PER_MILLI) * reported.relativeTo(1);
                }))
                .orElseThrow();
        return indexOf(best);
    }

    private int oracle(Job job) {
        int best = 0;
        double earliest = Double.POSITIVE_INFINITY;
        for (int engine = 0; engine < engines.size(); engine++) {
            double millis = engines.get(engine).firstTokenMillis(job);
            if (millis < earliest) {
                earliest = millis;
                best = engine;
            }
        }
        return best;
    }

    private int indexOf(Candidate candidate) {
        return Integer.parseInt(candidate.upstream().id().substring(1));
    }

    private void observe(int now) {
        for (Sent sent : List.copyOf(inFlight)) {
            UpstreamLoad load = sent.router().loads[sent.engine()];
            Job job = sent.job();
            if (job.firstTokenMillis <= now && !job.isObserved) {
                job.isObserved = true;
                SimulatedEngine engine = engines.get(sent.engine());
                load.recordResponseStarted(job, sent.work(), now);
                load.recordReport(
                        engine.running(), engine.requests() - engine.running(), slowness[sent.engine()] * PERCENT, now);
                sent.choice().ifPresent(choice -> learn(sent, choice, now));
            }
            if (job.endMillis <= now) {
                load.recordEnded(job, sent.work(), now);
                inFlight.remove(sent);
            }
        }
    }

    private static void learn(Sent sent, UpstreamChoice choice, int now) {
        double observed = sent.job().firstTokenMillis - sent.job().arrivedMillis;
        NormalDuration.Sample sample = sent.router().normal.record(observed, choice.normalMillis());
        Interference interference = choice.interference();
        double atNormalSpeed =
                observed * PERCENT / choice.candidate().estimate().durationPercent();
        sent.router()
                .interference
                .record(interference.workMillis(), atNormalSpeed - choice.normalMillis() + interference.delayMillis());
        sent.router().loads[sent.engine()].recordDuration(sample.factor(), sample.weight(), now);
    }
}
