package io.agatelane.node.io.engine;

import io.agatelane.core.routing.query.LoadEstimate;

/** One attempt to run a request on one engine. Guarded by the lock of its {@link ChatCall}. */
final class EngineAttempt {
    private static final long BASE_UNKNOWN = -1;

    private final Engine engine;
    private final String incarnation;
    private final String engineRequestId;
    private final long resumeTokens;
    private final EngineReservation reservation;
    private final EngineChoice choice;
    private final long startMillis;
    private EngineStream stream;
    private long responseBase;
    private long receivedTokens;
    private int probesWithoutProgress;
    private boolean probing;
    private boolean diagnosing;
    private boolean paused;
    private double nextOverdueFactor = 4;
    private long firstTokenMillis = -1;

    /**
     * Creates an attempt whose stream is set later.
     *
     * @param resumeTokens number of tokens after which the engine is to continue the response; 0 for an attempt from
     *     the start
     */
    EngineAttempt(
            EngineChoice choice,
            String incarnation,
            String engineRequestId,
            long resumeTokens,
            EngineReservation reservation,
            long startMillis) {
        this.choice = choice;
        this.engine = choice.engine();
        this.incarnation = incarnation;
        this.engineRequestId = engineRequestId;
        this.resumeTokens = resumeTokens;
        this.reservation = reservation;
        this.startMillis = startMillis;
        this.responseBase = resumeTokens == 0 ? 0 : BASE_UNKNOWN;
    }

    Engine engine() {
        return engine;
    }

    String incarnation() {
        return incarnation;
    }

    String engineRequestId() {
        return engineRequestId;
    }

    /** The routing decision that led to this attempt. */
    EngineChoice choice() {
        return choice;
    }

    EngineReservation reservation() {
        return reservation;
    }

    long startMillis() {
        return startMillis;
    }

    EngineStream stream() {
        return stream;
    }

    void setStream(EngineStream newStream) {
        stream = newStream;
    }

    /**
     * Converts an engine's offset to the offset in the whole response. Engines number a continued response from the
     * first continued token or from 0; the first event shows which.
     */
    long responseOffset(long engineOffset) {
        if (responseBase == BASE_UNKNOWN) {
            responseBase = engineOffset >= resumeTokens ? 0 : resumeTokens;
        }
        return responseBase + engineOffset;
    }

    /** Converts an offset in the whole response to the engine's numbering. */
    long engineOffset(long responseOffset) {
        return responseBase == BASE_UNKNOWN ? 0 : Math.max(0, responseOffset - responseBase);
    }

    /** Records that the stream delivered a token, which resets the number of probes without progress. */
    void recordProgress() {
        receivedTokens++;
        probesWithoutProgress = 0;
    }

    boolean hasProgress() {
        return receivedTokens > 0;
    }

    int incrementProbes() {
        return ++probesWithoutProgress;
    }

    /** Whether the current stream replaces an earlier connection and has not been accepted yet. */
    boolean isProbing() {
        return probing;
    }

    void setProbing(boolean newProbing) {
        probing = newProbing;
    }

    /** Whether the connection broke and the router is checking the state of the engine. */
    boolean isDiagnosing() {
        return diagnosing;
    }

    void setDiagnosing(boolean newDiagnosing) {
        diagnosing = newDiagnosing;
    }

    /** Whether reading from the engine is paused because the caller reads too slowly. */
    boolean isPaused() {
        return paused;
    }

    void setPaused(boolean newPaused) {
        paused = newPaused;
    }

    /**
     * Returns the ratio of elapsed to expected time to first token if it has reached the next threshold, else 0. The
     * next threshold is twice the returned ratio, so that a request that waits long is counted a few times and not at
     * every check.
     */
    double overdueFactor(long nowMillis) {
        double factor = (nowMillis - startMillis) / choice.expectedMillis();
        if (factor < nextOverdueFactor) {
            return 0;
        }
        nextOverdueFactor = factor * 2;
        return factor;
    }

    /**
     * Adds the service time of this attempt to the engine's estimate: its prefill and its decoding, without queueing.
     */
    void recordService(long nowMillis) {
        if (firstTokenMillis >= 0) {
            double prefillMillis = LoadEstimate.prefillMillis(engine.state().report(), (double) choice.prefillTokens());
            engine.state().recordServiceMillis(prefillMillis + (nowMillis - firstTokenMillis));
        }
    }

    long firstTokenMillis() {
        return firstTokenMillis;
    }

    void setFirstTokenMillis(long millis) {
        firstTokenMillis = millis;
    }
}
