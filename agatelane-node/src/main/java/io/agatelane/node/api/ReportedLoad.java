package io.agatelane.node.api;

/**
 * Load that an upstream reports about itself.
 *
 * @param durationPercent how long work currently takes compared with the usual time; 100 is as usual, 200 twice as long
 */
public record ReportedLoad(int running, int waiting, int slots, double durationPercent) {}
