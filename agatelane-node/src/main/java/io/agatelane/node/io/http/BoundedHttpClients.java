package io.agatelane.node.io.http;

import org.eclipse.jetty.client.HttpClient;

/** Creates HTTP clients that end a response whose bytes are no content and do not end. */
public final class BoundedHttpClients {
    /** Largest head, and largest trailers, of a response; upstreams send less than 1 KB. */
    private static final int MAX_HEAD_BYTES = 32 << 10;
    // A head and, beside it, interim responses, chunk extensions and trailers.
    private static final long HEADS_PER_RESPONSE = 2;

    private BoundedHttpClients() {}

    /**
     * Creates a client that was not started. Its connections are in clear text.
     *
     * @param contentBytes content that a response may have without extending the {@link ReadCredit} of its connection
     */
    public static HttpClient create(long contentBytes) {
        HttpClient client = new HttpClient(new BoundedHeadTransport(new ResetAwareConnector()));
        client.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        long creditBytes = contentBytes + HEADS_PER_RESPONSE * MAX_HEAD_BYTES;
        client.getRequestListeners()
                .addBeginListener(request -> ReadCredit.of(request).ifPresent(credit -> credit.reset(creditBytes)));
        return client;
    }
}
