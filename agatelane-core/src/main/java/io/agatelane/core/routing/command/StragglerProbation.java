package io.agatelane.core.routing.command;

import io.agatelane.core.routing.UpstreamState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Puts engines on probation that are much slower than the other engines of their model, and ends probations. */
public final class StragglerProbation {
    /** An engine whose latency factor exceeds the median of its peers this many times is a straggler. */
    public static final double STRAGGLER_FACTOR = 3;

    // Lower than the factor above (hysteresis), so that an engine does not change state with every sample.
    private static final double RECOVERED_FACTOR = 1.5;
    private static final long SAMPLE_EXPIRY_MILLIS = 10_000;

    private StragglerProbation() {}

    /** Updates the probation of the engines of one model and returns those whose state changed. */
    public static List<UpstreamState> update(List<UpstreamState> engines, long nowMillis) {
        double[] factors = new double[engines.size()];
        int sampleCount = 0;
        for (UpstreamState engine : engines) {
            if (nowMillis - engine.lastLatencySampleMillis() > SAMPLE_EXPIRY_MILLIS) {
                engine.resetLatency();
            } else {
                factors[sampleCount++] = engine.latencyFactor();
            }
        }
        Arrays.sort(factors, 0, sampleCount);
        List<UpstreamState> changed = new ArrayList<>();
        for (UpstreamState engine : engines) {
            double normal = Math.max(1, medianOfPeers(factors, sampleCount, engine.latencyFactor()));
            boolean slow = engine.latencyFactor() > normal * (engine.probation() ? RECOVERED_FACTOR : STRAGGLER_FACTOR);
            if (slow != engine.probation()) {
                engine.setProbation(slow);
                changed.add(engine);
            }
        }
        return changed;
    }

    // Excludes one occurrence of the engine's own factor, so that in a pair each engine is compared with the other one.
    private static double medianOfPeers(double[] sorted, int count, double own) {
        int position = Arrays.binarySearch(sorted, 0, count, own);
        int peers = position >= 0 ? count - 1 : count;
        if (peers == 0) {
            return 1;
        }
        int middle = peers / 2;
        int index = position >= 0 && position <= middle ? middle + 1 : middle;
        return sorted[Math.min(index, count - 1)];
    }
}
