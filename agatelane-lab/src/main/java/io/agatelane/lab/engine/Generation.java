package io.agatelane.lab.engine;

import java.util.ArrayList;
import java.util.List;

/** State of one accepted request; confined to the engine's loop. */
final class Generation {
    private static final long NOT_FINISHED = -1;

    final GenerationRequest request;
    final TokenSource tokens;
    final String weightsVersion;
    final long sequence;
    private final List<String> output = new ArrayList<>();
    private TokenReader reader;
    private int deliveredTokens;
    private int cachedTokens = -1;
    private int prefillTokensLeft;
    private boolean decoding;
    private GenerationResult result;
    private long finishedMillis = NOT_FINISHED;
    private long readerGoneMillis = NOT_FINISHED;

    Generation(
            GenerationRequest request, TokenSource tokens, String weightsVersion, long sequence, TokenReader reader) {
        this.request = request;
        this.tokens = tokens;
        this.weightsVersion = weightsVersion;
        this.sequence = sequence;
        this.reader = reader;
    }

    /** Returns whether prefill has not started, so that the cached tokens are not known yet. */
    boolean isNew() {
        return cachedTokens < 0;
    }

    void startPrefill(int newCachedTokens) {
        cachedTokens = newCachedTokens;
        prefillTokensLeft = Math.max(1, request.promptTokens() + request.resumeTokens() - newCachedTokens);
    }

    int prefillTokensLeft() {
        return prefillTokensLeft;
    }

    void recordPrefilled(int count) {
        prefillTokensLeft -= count;
    }

    void startDecoding() {
        decoding = true;
    }

    boolean isDecoding() {
        return decoding;
    }

    boolean isFinished() {
        return finishedMillis != NOT_FINISHED;
    }

    long finishedMillis() {
        return finishedMillis;
    }

    int cachedTokens() {
        return Math.max(0, cachedTokens);
    }

    int nextOffset() {
        return request.resumeTokens() + output.size();
    }

    /** Produces one token; returns false when the generation has reached its maximum length. */
    boolean produceToken() {
        if (nextOffset() < request.maxTokens()) {
            output.add(tokens.token(nextOffset()));
            deliver();
        }
        return nextOffset() < request.maxTokens();
    }

    void finish(long nowMillis) {
        finishedMillis = nowMillis;
        result = new GenerationResult(request.promptTokens(), nextOffset(), cachedTokens(), "length");
        deliver();
    }

    /** Returns whether the output can be read from an offset on. */
    boolean isReadableFrom(int fromOffset) {
        return fromOffset >= request.resumeTokens() && fromOffset <= nextOffset();
    }

    /** Attaches a reader from an offset on and ends the previous reader. */
    void attach(int fromOffset, TokenReader newReader) {
        if (reader != null) {
            reader.onAbort();
        }
        reader = newReader;
        readerGoneMillis = NOT_FINISHED;
        deliveredTokens = fromOffset - request.resumeTokens();
        deliver();
    }

    /** Detaches this reader if it is still the current one. */
    void detach(TokenReader oldReader, long nowMillis) {
        if (reader == oldReader) {
            reader = null;
            readerGoneMillis = nowMillis;
        }
    }

    boolean isOrphanedSince(long beforeMillis) {
        return readerGoneMillis != NOT_FINISHED && readerGoneMillis <= beforeMillis;
    }

    void abort() {
        if (reader != null) {
            reader.onAbort();
            reader = null;
        }
    }

    private void deliver() {
        if (reader == null) {
            return;
        }
        while (deliveredTokens < output.size()) {
            reader.onToken(request.resumeTokens() + deliveredTokens, output.get(deliveredTokens));
            deliveredTokens++;
        }
        if (result != null) {
            TokenReader last = reader;
            reader = null;
            last.onEnd(result);
        }
    }
}
