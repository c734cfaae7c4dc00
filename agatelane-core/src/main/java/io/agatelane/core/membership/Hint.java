package io.agatelane.core.membership;

/** A small piece of information with best-effort delivery: it may be lost, delayed or repeated. */
public interface Hint {
    HintScope scope();

    /** Identifies what the hint is about; a newer hint replaces an older one of the same scope and key. */
    String key();

    /** Orders hints of the same key, which may arrive out of order through several members. */
    long sequence();

    /** Upper bound of the encoded size in bytes, at most 1,000. */
    int sizeBytes();

    /** Time after publication at which the hint is of no more use. */
    long lifetimeMillis();

    /** Whether the hint is sent before others when the byte budget is short. */
    default boolean urgent() {
        return false;
    }
}
