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

    /** The identity of a request; empty when it states none. */
    Optional<String> requestId(HttpFields headers);

    /** Status of a failure. It may promise that nothing ran only where the failure says so. */
    int status(AgatelaneException failure);

    /** Headers of a failure. */
    void encodeFailure(AgatelaneException failure, String requestId, HttpFields.Mutable headers);

    /** Path at which the platform asks whether this router takes new connections. */
    String readinessPath();
}
