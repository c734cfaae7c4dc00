package io.agatelane.lab.bench;

import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.core.routing.Decision;
import io.agatelane.core.routing.HintTable;
import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.ModelFleet;
import io.agatelane.core.routing.PrefixRates;
import io.agatelane.core.routing.RequestProfile;
import io.agatelane.core.routing.UpstreamState;
import io.agatelane.core.routing.query.ChoiceConstraints;
import io.agatelane.core.routing.query.EngineChooser;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of one routing decision over fleets of several sizes. Prompts have 6 prefix levels. Run with
 * {@code -prof gc} to see the allocation of a decision.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class DecisionBenchmark {
    private static final int MODELS = 7;
    private static final int MIN_UPSTREAMS_FOR_ALL_MODELS = 70;
    private static final int PROMPTS = 4_096;
    private static final int LEVELS = 6;
    private static final int SHARED_LEVELS = 4;
    private static final int REPEATS_PER_LEVEL = 80;
    private static final int HINT_BITS = 17;
    private static final int RATE_BITS = 15;
    private static final long NOW_MILLIS = 10_000;

    /** Number of upstreams of all models; 70 and more are divided among 7 models. */
    @Param({"8", "800", "7200"})
    public int upstreams;

    private final HintTable hints = new HintTable(HINT_BITS);
    private final PrefixRates rates = new PrefixRates(RATE_BITS);
    private final List<ModelFleet> fleets = new ArrayList<>();
    private final List<PromptDigests> prompts = new ArrayList<>();
    private final List<RequestProfile> profiles = new ArrayList<>();
    private final List<RequestProfile> newProfiles = new ArrayList<>();
    private final ChoiceConstraints constraints = new ChoiceConstraints(RoutingPolicy.DEFAULT, 8, upstream -> false);
    private EngineChooser chooser;
    private int nextPrompt;

    /** Builds the fleets and prompts. */
    @Setup
    public void setUp() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
        int models = upstreams < MIN_UPSTREAMS_FOR_ALL_MODELS ? 1 : MODELS;
        for (int model = 0; model < models; model++) {
            List<UpstreamState> members = new ArrayList<>();
            for (int i = model; i < upstreams; i += models) {
                members.add(engine("engine-" + i, random));
            }
            fleets.add(new ModelFleet("m", "v1", members, "zone-a"));
        }
        for (int i = 0; i < PROMPTS; i++) {
            prompts.add(prompt(i, false));
            profiles.add(new RequestProfile("m", prompts.get(i), 100, random.nextLong()));
            newProfiles.add(new RequestProfile("m", prompt(i, true), 100, random.nextLong()));
        }
        chooser = new EngineChooser(hints, rates);
        for (RequestProfile profile : profiles) {
            recordPlacement(profile, random);
        }
    }

    /** Decides for a prompt whose first four levels are shared with others and whose last two are new. */
    @Benchmark
    public Decision choose() {
        int index = nextPrompt++ & (PROMPTS - 1);
        return chooser.choose(fleets.get(index % fleets.size()), profiles.get(index), constraints, NOW_MILLIS);
    }

    /** Decides for a prompt with six levels that no recent request had. */
    @Benchmark
    public Decision chooseAllNew() {
        int index = nextPrompt++ & (PROMPTS - 1);
        return chooser.choose(fleets.get(index % fleets.size()), newProfiles.get(index), constraints, NOW_MILLIS);
    }

    /** Selects the prefix levels of a prompt and decides for it. */
    @Benchmark
    public Decision profileAndChoose() {
        int index = nextPrompt++ & (PROMPTS - 1);
        RequestProfile profile = new RequestProfile("m", prompts.get(index), 100, index);
        return chooser.choose(fleets.get(index % fleets.size()), profile, constraints, NOW_MILLIS);
    }

    private void recordPlacement(RequestProfile profile, UniformRandomProvider random) {
        ModelFleet fleet = fleets.get(random.nextInt(fleets.size()));
        UpstreamState engine = fleet.member(random.nextInt(fleet.size()));
        for (int level = 0; level < profile.levelCount(); level++) {
            rates.record(profile.digest(level), NOW_MILLIS);
            hints.put(engine.nodeHash(), engine.engineKey(), profile.digest(level), NOW_MILLIS);
        }
    }

    private static UpstreamState engine(String name, UniformRandomProvider random) {
        UpstreamState engine = new UpstreamState(name, "zone-" + (char) ('a' + random.nextInt(3)), 0.5);
        engine.setReachable(true);
        engine.setReport(new LoadReport(
                "1", "m", "v1", false, 16, random.nextInt(16), random.nextInt(3), 20_000, 25, NOW_MILLIS - 200));
        for (int i = 0; i < random.nextInt(4); i++) {
            engine.recordSent(500, false, NOW_MILLIS - random.nextInt(400));
        }
        return engine;
    }

    private static PromptDigests prompt(int index, boolean allNew) {
        PromptDigester digester = new PromptDigester(allNew ? "new/v1" : "account/v1");
        for (int level = 0; level < LEVELS; level++) {
            // 4, 8, 16 and 32 distinct texts in the shared levels.
            int text = allNew || level >= SHARED_LEVELS ? index : index % (SHARED_LEVELS << level);
            digester.add("user", ("level " + level + " text " + text + " ").repeat(REPEATS_PER_LEVEL));
        }
        return digester.build();
    }
}
