package io.agatelane.node.forward;

import io.agatelane.node.api.UpstreamResponse;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.MimeTypes;

/** Whether the head of an upstream's response is one that may be passed on for a request. */
record ResponseCheck(String requestId, int status, HttpFields headers, UpstreamResponse response) {
    /** Whether the response names another request, and so says nothing about this one. */
    boolean isOfOtherRequest() {
        return response.requestId().filter(id -> !id.equals(requestId)).isPresent();
    }

    /**
     * Returns why the response must not be passed on; empty when it may be.
     *
     * @param begun head of the response that has begun to be passed on and that this one is to continue
     * @param promisesNotExecuted whether the caller would take the status as a promise that the request has not run,
     *     which only a refusal of the upstream may make
     */
    Optional<String> unusable(Optional<HttpFields> begun, boolean promisesNotExecuted) {
        if (promisesNotExecuted && !response.notExecuted()) {
            return Optional.of("status " + status + " does not state whether the request has run");
        }
        if (isOfOtherRequest()) {
            return Optional.of(
                    "the response belongs to request " + response.requestId().get());
        }
        if (!response.signed()) {
            return Optional.of("the response is not signed, status " + status);
        }
        if (response.contentEncoded()) {
            return Optional.of("the response body was transformed on the way");
        }
        if (begun.isPresent() && status != HttpStatus.OK_200) {
            return Optional.of("status " + status + " instead of the rest of the response");
        }
        if (begun.filter(first -> !contentType(first).equalsIgnoreCase(contentType(headers)))
                .isPresent()) {
            return Optional.of("another content type instead of the rest of the response");
        }
        return Optional.empty();
    }

    private static String contentType(HttpFields headers) {
        String value = headers.get(HttpHeader.CONTENT_TYPE);
        return value == null ? "" : MimeTypes.getContentTypeWithoutCharset(value);
    }
}
