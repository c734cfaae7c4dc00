package io.agatelane.core.fleet;

/**
 * Work that a request causes at its upstream, in times of an upstream of normal speed.
 *
 * @param priority priority with which engines admit the request, 0 (first) to 9
 * @param prefillMillis expected duration of the prefill
 * @param outputMillis expected time from the start of the response to its end
 * @param memoryTokens tokens that the request occupies in the engine's memory until it ends; 0 without a prompt
 */
public record RequestWork(int priority, double prefillMillis, double outputMillis, long memoryTokens) {
    /** Expected time from the start of a response to its end before any was observed: some tens of tokens. */
    public static final double ASSUMED_OUTPUT_MILLIS = 120;

    /** Creates work with the assumed time of the output. */
    public RequestWork(int priority, double prefillMillis, long memoryTokens) {
        this(priority, prefillMillis, ASSUMED_OUTPUT_MILLIS, memoryTokens);
    }
}
