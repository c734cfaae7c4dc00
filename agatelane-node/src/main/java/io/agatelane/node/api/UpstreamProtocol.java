package io.agatelane.node.api;

import org.eclipse.jetty.http.HttpFields;

/** Encodes request headers for upstreams and decodes the headers of their responses. */
public interface UpstreamProtocol {
    /** Writes the headers of a request: those of the caller that may be passed on, and those that the router adds. */
    void encode(HttpFields callerHeaders, UpstreamCall call, HttpFields.Mutable headers);

    /** Decodes status and headers of a response. */
    UpstreamResponse decode(int status, HttpFields headers);

    /** Copies the headers of a response that are passed on to the caller. */
    void copyResponseHeaders(HttpFields upstreamHeaders, HttpFields.Mutable callerHeaders);
}
