package io.agatelane.lab.engine;

/** Receives the output of a generation in order, on the engine's loop. */
public interface TokenReader {
    /** Receives the output token at an offset. */
    void onToken(int offset, String text);

    /** Called after the last token. */
    void onEnd(GenerationResult result);

    /** Called when output stops without a result: a cancel, a crash, or a newer reader of the same stream. */
    void onAbort();
}
