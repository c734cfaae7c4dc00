package io.agatelane.node.api;

import io.agatelane.core.failure.AgatelaneException;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/** Decodes what callers send and encodes failures for them. */
public interface CallerProtocol {
    /**
     * Reads the headers of a request.
     *
     * @throws AgatelaneException with {@code MALFORMED_REQUEST}
     */
    CallerRequest decode(HttpFields headers);

    /** Returns the identity of a request; empty when its headers contain none. */
    Optional<String> requestId(HttpFields headers);

    /**
     * Returns the HTTP status of a failure. Only a failure that is known not to have executed anything may get a status
     * which promises that nothing ran.
     */
    int status(AgatelaneException failure);

    /** Whether callers take a status as a promise that the request has not run and never will. */
    boolean impliesNotExecuted(int status);

    /** Adds the response headers that describe a failure. */
    void encodeFailure(AgatelaneException failure, String requestId, HttpFields.Mutable headers);

    /** Returns the path of the readiness check, which reports whether this router takes new connections. */
    String readinessPath();
}
