package io.agatelane.lab.experiment;

import io.agatelane.lab.load.WorkloadReport;

/**
 * Result of one measured run.
 *
 * @param hitRate fraction of the prompt tokens that the engines found in their caches
 * @param computedTokens prompt tokens that the engines computed
 * @param recomputedTokens tokens of blocks that were computed although an engine had computed them before
 * @param attempts requests that the engines accepted
 */
record ExperimentOutcome(
        WorkloadReport report, double hitRate, long computedTokens, long recomputedTokens, long attempts) {
    long succeeded() {
        return report.classes().values().stream()
                .mapToLong(stats -> stats.succeededCount())
                .sum();
    }

    long refused() {
        return report.classes().values().stream()
                .mapToLong(stats -> stats.refusedCount())
                .sum();
    }
}
