package io.agatelane.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.routing.command.StragglerProbation;
import java.util.List;
import org.testng.annotations.Test;

public class StragglerProbationTest {
    // Guards against a straggler that still receives normal traffic, and against a probation that never ends.
    @Test
    public void startsAndEndsProbations() {
        List<UpstreamState> engines = EngineChooserTest.engines(8);
        UpstreamState slow = engines.get(3);
        for (int i = 0; i < 5; i++) {
            engines.forEach(engine -> engine.recordLatencyFactor(engine == slow ? 10 : 1, 0));
        }
        assertEquals(StragglerProbation.update(engines, 0), List.of(slow));
        for (int i = 0; i < 4; i++) {
            slow.recordLatencyFactor(1, 2_000);
        }
        assertEquals(StragglerProbation.update(engines, 2_000), List.of(slow));
        assertFalse(slow.probation());
    }

    // Guards against a probation of half the fleet when all engines are slow, and against two engines that are never
    // compared with each other.
    @Test
    public void comparesWithPeers() {
        List<UpstreamState> engines = EngineChooserTest.engines(8);
        engines.forEach(engine -> engine.recordLatencyFactor(40, 0));
        assertTrue(StragglerProbation.update(engines, 0).isEmpty());
        List<UpstreamState> pair = EngineChooserTest.engines(2);
        for (int i = 0; i < 5; i++) {
            pair.get(0).recordLatencyFactor(1, 0);
            pair.get(1).recordLatencyFactor(10, 0);
        }
        assertEquals(StragglerProbation.update(pair, 0), List.of(pair.get(1)));
    }

    // Guards against old samples that keep an idle engine on probation.
    @Test
    public void forgetsOldSamples() {
        List<UpstreamState> engines = EngineChooserTest.engines(3);
        engines.forEach(engine -> engine.recordLatencyFactor(1, 0));
        for (int i = 0; i < 5; i++) {
            engines.get(0).recordLatencyFactor(20, 0);
        }
        assertEquals(StragglerProbation.update(engines, 0).size(), 1);
        assertEquals(StragglerProbation.update(engines, 60_000), List.of(engines.get(0)));
    }
}
