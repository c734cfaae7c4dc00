package io.agatelane.core.routing.query;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.ModelFleet;
import io.agatelane.core.routing.UpstreamState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Guards against a model that is unavailable while its new weights are loaded. */
public final class VersionSelectorTest {
    private static final int REQUESTS = 8_000;

    @Test
    public void oldWeightsServeUntilNewOnesAreLoaded() {
        assertEquals(selector(8, 0).choose("v2", 1), "v1");
        assertEquals(selector(0, 8).choose("v2", 1), "v2");
        assertEquals(selector(0, 0).choose("v2", 1), "v2");
    }

    @Test
    public void requestsAreSharedInProportionToTheEngines() {
        VersionSelector selector = selector(6, 2);
        int served = 0;
        for (int seed = 0; seed < REQUESTS; seed++) {
            served += selector.choose("v2", seed).equals("v2") ? 1 : 0;
        }
        // A quarter of the engines has the new weights; 10% of tolerance is over 6 standard deviations.
        assertTrue(Math.abs(served - REQUESTS / 4) < REQUESTS / 40, "new weights served " + served);
    }

    private static VersionSelector selector(int oldEngines, int newEngines) {
        List<UpstreamState> states = new ArrayList<>();
        for (int i = 0; i < oldEngines + newEngines; i++) {
            UpstreamState state = new UpstreamState("engine-" + i, "zone-a", 1);
            String version = i < oldEngines ? "v1" : "v2";
            state.setReport(new LoadReport("inc", "model", version, false, 8, 0, 0, 40_000, 4, 0));
            state.setReachable(true);
            states.add(state);
        }
        Map<String, ModelFleet> fleets = new HashMap<>();
        for (String version : List.of("v1", "v2")) {
            fleets.put(version, new ModelFleet("model", version, states, "zone-a"));
        }
        return VersionSelector.of(fleets);
    }
}
