package io.agatelane.core.membership;

/** A hint of 60 bytes that expires after 10 s. */
record TestHint(HintScope scope, String key, long sequence, boolean urgent) implements Hint {
    @Override
    public int sizeBytes() {
        return 60;
    }

    @Override
    public long lifetimeMillis() {
        return 10_000;
    }
}
