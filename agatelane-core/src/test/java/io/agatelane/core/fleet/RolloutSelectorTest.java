package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.agatelane.core.fleet.query.RolloutSelector;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

public class RolloutSelectorTest {
    private static final Map<String, Long> NEWEST = Map.of(FleetFixtures.MODEL, 3L);

    // Guards against engines that are updated from version 2 to 3 while others keep version 1 beyond the allowed time.
    @Test
    public void oldestWeightsGoFirst() {
        List<FleetUpstream> fleet = List.of(
                FleetFixtures.engine("a", "z", 2),
                FleetFixtures.engine("b", "z", 1),
                FleetFixtures.engine("c", "z", 3));
        assertEquals(next(fleet, Set.of(), 1), List.of("b"));
        assertEquals(next(fleet, Set.of(), 5), List.of("b", "a"));
    }

    // Guards against a roll-out that takes more engines out of service than may load weights concurrently.
    @Test
    public void reservedEnginesCount() {
        List<FleetUpstream> fleet = List.of(
                FleetFixtures.engine("a", "z", 1),
                FleetFixtures.engine("b", "z", 1),
                FleetFixtures.engine("c", "z", 1));
        assertEquals(next(fleet, Set.of("a"), 2), List.of("b"));
        assertEquals(next(fleet, Set.of("a", "b"), 2), List.of());
    }

    // Guards against orders to an engine that is leaving.
    @Test
    public void drainingEngineIsNotSelected() {
        FleetUpstream draining =
                new FleetUpstream("a", 1, "engines", "10.0.0.1:80", "z", 8, true, Map.of(FleetFixtures.MODEL, 1L));
        assertFalse(RolloutSelector.isOutdated(draining, NEWEST));
    }

    private static List<String> next(List<FleetUpstream> fleet, Set<String> reserved, int maxReserved) {
        return RolloutSelector.selectNext(fleet, NEWEST, reserved, maxReserved, upstream -> 0).stream()
                .map(FleetUpstream::id)
                .toList();
    }
}
