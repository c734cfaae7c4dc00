package io.agatelane.node.io.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests in lower-case hexadecimal. */
final class Digests {
    private Digests() {}

    static String sha256Hex(String text) {
        return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the digest of a request. Only requests with the same method, target and body have the same digest. */
    static String ofRequest(String method, String target, byte[] body) {
        MessageDigest digest = sha256();
        digest.update((method + " " + target + "\n").getBytes(StandardCharsets.UTF_8));
        digest.update(body);
        return HexFormat.of().formatHex(digest.digest());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
