package io.agatelane.node.io.http;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/** The statuses that end a request. The HTTP client also delivers responses with other numbers. */
public final class FinalStatus {
    private static final int END_OF_STATUSES = 600;

    private FinalStatus() {}

    /**
     * Requires a status that HTTP defines as final.
     *
     * @throws AgatelaneException with {@code UPSTREAM_FAILED} for any other one: the bytes are no response, and none of
     *     their headers states anything about the request
     */
    public static void require(int status) {
        if (status < HttpStatus.OK_200 || status >= END_OF_STATUSES) {
            throw new AgatelaneException(FailureType.UPSTREAM_FAILED, "status " + status + " ends no request");
        }
    }

    /** Fails a response whose head has arrived and whose status ends no request. */
    public static void abortUnlessFinal(Response response) {
        try {
            require(response.getStatus());
        } catch (AgatelaneException e) {
            var unused = response.abort(e);
        }
    }
}
