package io.agatelane.node.api;

import org.eclipse.jetty.http.HttpFields;

/** Encodes requests for upstreams and decodes their answers. */
public interface UpstreamProtocol {
    /** Headers of a request: those of the caller that may pass, and those of the router. */
    void encode(HttpFields callerHeaders, UpstreamCall call, HttpFields.Mutable headers);

    /** Reads the head of an answer. */
    UpstreamAnswer decode(int status, HttpFields headers);

    /** Headers of an answer that are passed on to the caller. */
    void relay(HttpFields upstreamHeaders, HttpFields.Mutable callerHeaders);
}
