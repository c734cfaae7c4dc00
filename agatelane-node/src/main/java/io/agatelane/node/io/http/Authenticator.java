package io.agatelane.node.io.http;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.ClientAccount;
import io.agatelane.node.api.ConfigView;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;

/** Finds the client account of a request by its API key. */
public final class Authenticator {
    private static final String SCHEME = "Bearer ";

    private final ConfigView config;

    public Authenticator(ConfigView config) {
        this.config = config;
    }

    /**
     * Returns the client account of a request.
     *
     * @throws AgatelaneException with {@code UNAUTHENTICATED} when the key is missing or unknown
     */
    public ClientAccount authenticate(Request request) {
        String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        if (header == null || !header.startsWith(SCHEME)) {
            throw new AgatelaneException(
                    FailureType.UNAUTHENTICATED, "an Authorization header with a bearer API key is required");
        }
        String digest = sha256Hex(header.substring(SCHEME.length()).trim());
        return config.current()
                .accountByApiKeySha256(digest)
                .orElseThrow(() -> new AgatelaneException(FailureType.UNAUTHENTICATED, "the API key is unknown"));
    }

    /** Returns the lower-case hexadecimal SHA-256 digest of an API key, as the configuration stores it. */
    public static String sha256Hex(String apiKey) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(apiKey.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new AgatelaneException(FailureType.INTERNAL, "this JVM does not provide SHA-256", e);
        }
    }
}
