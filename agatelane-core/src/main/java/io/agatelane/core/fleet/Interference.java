package io.agatelane.core.fleet;

/**
 * Prefill of less urgent prompts that delays a more urgent one at the same engine.
 *
 * @param workMillis prefill work of the less urgent prompts
 * @param delayMillis expected delay of the first token on an engine of normal speed
 */
public record Interference(double workMillis, double delayMillis) {
    /** No other prompts. */
    public static final Interference NONE = new Interference(0, 0);

    /** Delay per millisecond of work before any was observed. */
    public static final double ASSUMED_SHARE = 0.3;
}
