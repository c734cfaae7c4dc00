package io.agatelane.node.io.engine;

/** Position in a response: the offset of the next token and the text so far. */
final class StreamPosition {
    private final StringBuilder text = new StringBuilder();
    private long nextOffset;
    private long firstForwarded;
    private boolean textKnown = true;
    private boolean tokenReceived;

    /** Result of comparing a token's offset with the position. */
    enum OffsetCheck {
        FORWARD,
        /** The token is new to this router, but the caller already has it. */
        RECORD_ONLY,
        REPEAT,
        GAP
    }

    /** Tokens below this offset are collected but not sent, because the caller has them. */
    void skipTo(long offset) {
        firstForwarded = offset;
    }

    /** The first offset that the caller does not have. */
    long firstForwarded() {
        return firstForwarded;
    }

    /** Continues at a later offset without the text before it. */
    void startAt(long offset) {
        nextOffset = offset;
        textKnown = false;
    }

    OffsetCheck check(long offset) {
        if (offset < nextOffset) {
            return OffsetCheck.REPEAT;
        }
        if (offset > nextOffset) {
            return OffsetCheck.GAP;
        }
        return offset < firstForwarded ? OffsetCheck.RECORD_ONLY : OffsetCheck.FORWARD;
    }

    void accept(String content) {
        nextOffset++;
        tokenReceived = true;
        text.append(content);
    }

    long nextOffset() {
        return nextOffset;
    }

    String text() {
        return text.toString();
    }

    /** Whether the text from the first token on is known, so that another engine can continue it. */
    boolean textKnown() {
        return textKnown;
    }

    void markTextUnknown() {
        textKnown = false;
    }

    /** Whether no token has arrived. */
    boolean isAtStart() {
        return !tokenReceived;
    }
}
