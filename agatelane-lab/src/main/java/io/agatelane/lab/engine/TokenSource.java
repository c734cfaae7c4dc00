package io.agatelane.lab.engine;

import io.agatelane.core.hash.Rendezvous;

/**
 * Generates deterministic output: each token depends on the model, the weights version, the prompt and the offset
 * only, so that a continued stream can be compared with an uninterrupted one.
 */
public final class TokenSource {
    private static final int ALPHABET_SIZE = 26;
    private static final int LETTERS_PER_TOKEN = 3;

    private final long seed;

    private TokenSource(long seed) {
        this.seed = seed;
    }

    /** Returns the output for a canonical prompt. */
    public static TokenSource of(String model, String weightsVersion, String canonicalPrompt) {
        return new TokenSource(Rendezvous.hash(model + '\0' + weightsVersion + '\0' + canonicalPrompt));
    }

    /** Returns the output after a resumed text that differs from the one this engine would have generated. */
    TokenSource continuing(String resumedText) {
        return new TokenSource(Rendezvous.weight(seed, Rendezvous.hash(resumedText)));
    }

    /** Returns the token at an offset: a space and three letters, which is four bytes. */
    public String token(int offset) {
        long hash = Rendezvous.weight(seed, offset + 1L);
        StringBuilder text = new StringBuilder(LETTERS_PER_TOKEN + 1).append(' ');
        for (int i = 0; i < LETTERS_PER_TOKEN; i++) {
            text.append((char) ('a' + Long.remainderUnsigned(hash, ALPHABET_SIZE)));
            hash = Long.divideUnsigned(hash, ALPHABET_SIZE);
        }
        return text.toString();
    }

    /** Returns the text of the first tokens. */
    public String text(int tokenCount) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokenCount; i++) {
            text.append(token(i));
        }
        return text.toString();
    }
}
