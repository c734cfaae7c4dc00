package io.agatelane.node.io.engine;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest of a client account and a request body.
 *
 * <p>Request ids contain a digest of the fingerprint. A caller can therefore resume only a stream of its own account
 * and of the same body, although routers share no secret: the id of another account's stream does not match any body
 * that the caller can send.
 */
record RequestFingerprint(String hex) {
    private static final int HEX_RADIX = 16;
    private static final int TAG_CHARACTERS = 32;

    static RequestFingerprint of(String account, byte[] body) {
        byte[] name = account.getBytes(StandardCharsets.UTF_8);
        MessageDigest digest = sha256();
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(name.length).array());
        digest.update(name);
        digest.update(body);
        return new RequestFingerprint(HexFormat.of().formatHex(digest.digest()));
    }

    /** Returns an id for a request with this fingerprint, unique by the nonce. */
    String requestId(long nonce) {
        String nonceHex = HexFormat.of().toHexDigits(nonce);
        return nonceHex + "-" + tag(nonceHex);
    }

    /** The first 64 bits as a number. */
    long value() {
        return Long.parseUnsignedLong(hex.substring(0, Long.BYTES * 2), HEX_RADIX);
    }

    /** Whether a request id, with or without an attempt suffix, was made for this account and body. */
    boolean matches(String requestId) {
        int dash = requestId.indexOf('-');
        int end = dash + 1 + TAG_CHARACTERS;
        return dash > 0
                && requestId.length() >= end
                && requestId.substring(dash + 1, end).equals(tag(requestId.substring(0, dash)));
    }

    private String tag(String nonceHex) {
        byte[] bytes = sha256().digest((nonceHex + "/" + hex).getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(bytes).substring(0, TAG_CHARACTERS);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AgatelaneException(FailureType.INTERNAL, "SHA-256 is missing in this JVM", e);
        }
    }
}
