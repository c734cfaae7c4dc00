package io.agatelane.node.api;

/**
 * Load of an upstream as it tells it.
 *
 * @param speedPercent how long work takes at this moment; 100 is as usual
 */
public record ReportedLoad(int running, int waiting, int slots, double speedPercent) {}
