package io.agatelane.lab.capacity;

import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.core.routing.HintTable;
import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.ModelFleet;
import io.agatelane.core.routing.PrefixRates;
import io.agatelane.core.routing.RequestProfile;
import io.agatelane.core.routing.UpstreamState;
import io.agatelane.core.routing.query.ChoiceConstraints;
import io.agatelane.core.routing.query.EngineChooser;
import io.agatelane.lab.experiment.Table;
import java.util.ArrayList;
import java.util.List;

/** Measures memory of the upstream states and time of a routing decision by the number of upstreams. */
final class RoutingGrowth {
    private static final int[] UPSTREAM_COUNTS = {8, 800, 7_200};
    private static final int MODELS = 7;
    private static final int ZONES = 22;
    private static final int DECISIONS = 200_000;
    private static final int HINT_BITS = 16;
    private static final int PROFILES = 512;

    private RoutingGrowth() {}

    static String run() {
        Table table = new Table("upstreams", "heap, bytes", "heap per upstream, bytes", "decision, us", "hint, us");
        for (int upstreams : UPSTREAM_COUNTS) {
            Heap.Measured<List<UpstreamState>> states = Heap.measure(() -> states(upstreams));
            ModelFleet fleet = new ModelFleet("model-0", "w1", states.value(), "zone-0");
            HintTable hints = new HintTable(HINT_BITS);
            EngineChooser chooser = new EngineChooser(hints, new PrefixRates(HINT_BITS));
            List<RequestProfile> profiles = profiles();
            ChoiceConstraints constraints = new ChoiceConstraints(RoutingPolicy.DEFAULT, 370, upstream -> false);
            double decisionMicros = Timing.micros(
                    DECISIONS, i -> chooser.choose(fleet, profiles.get(i % PROFILES), constraints, i / 100));
            double hintMicros = Timing.micros(
                    DECISIONS,
                    i -> hints.put(
                            i % upstreams,
                            i % upstreams,
                            profiles.get(i % PROFILES).digest(0),
                            i));
            table.row(upstreams, states.bytes(), (double) states.bytes() / upstreams, decisionMicros, hintMicros);
        }
        return table.toString();
    }

    private static List<UpstreamState> states(int count) {
        List<UpstreamState> states = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            UpstreamState state = new UpstreamState("engine-" + i, "zone-" + i % ZONES, 1 + i % 5);
            state.setReport(
                    new LoadReport("inc-" + i, "model-" + i % MODELS, "w1", false, 16, i % 8, 0, 40_000, 20, 0));
            state.setReachable(true);
            states.add(state);
        }
        return states;
    }

    private static List<RequestProfile> profiles() {
        List<RequestProfile> profiles = new ArrayList<>();
        for (int i = 0; i < PROFILES; i++) {
            PromptDigester digester = new PromptDigester("account-" + i % 8 + "/w1")
                    .add("system", "regulations ".repeat(700))
                    .add("user", "district " + i % 32 + " street".repeat(400))
                    .add("user", "dossier " + i + " permit".repeat(200));
            profiles.add(new RequestProfile("model-0", digester.build(), 64, i));
        }
        return profiles;
    }
}
