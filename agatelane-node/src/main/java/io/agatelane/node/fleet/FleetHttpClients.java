package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.io.http.BoundedHeadTransport;
import io.agatelane.node.io.http.InterimResponses;
import io.agatelane.node.io.http.ReadCredit;
import io.agatelane.node.io.http.ResetAwareConnector;
import java.util.concurrent.Executor;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.thread.Scheduler;

/** Creates HTTP clients that add no headers of their own to a request and never repeat one. */
final class FleetHttpClients {
    // Connecting takes a round trip and about a millisecond; a lost SYN is retransmitted only after a second.
    private static final long CONNECT_TIMEOUT_MILLIS = 400;
    // Pooled connections to the store are used several times a second.
    private static final long IDLE_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_CONNECTIONS = 1_024;
    // The deadline of a request ends it; a sound upstream may be silent for longer than any fixed time.
    private static final long NO_IDLE_TIMEOUT = 0;
    // Largest response to a call of the router itself: a page of the store.
    private static final long MAX_CONTROL_RESPONSE_BYTES = 5 << 20;
    // A head and, beside it, interim responses, chunk extensions and trailers.
    private static final int HEADS_PER_RESPONSE = 2;
    private static final int REQUESTS_PER_CONNECTION = 1;

    // Headers that the router adds for the upstream, such as the account, the cache salt and the last event's id.
    private static final int ADDED_HEADER_BYTES = 8 << 10;

    private FleetHttpClients() {}

    /** Lets a client send heads as long as callers may send them. The longer buffer is allocated only for long heads. */
    static void allowRequestHeads(HttpClient client, int callerHeadBytes) {
        client.setMaxRequestHeadersSize(callerHeadBytes + ADDED_HEADER_BYTES);
    }

    /**
     * Creates a client that opens a new connection for each request.
     *
     * @param maxHeadBytes largest head of a response
     */
    static HttpClient forRequests(Executor executor, Scheduler scheduler, int maxHeadBytes) {
        HttpClient client = create(executor, scheduler, maxHeadBytes, (long) HEADS_PER_RESPONSE * maxHeadBytes);
        client.setIdleTimeout(NO_IDLE_TIMEOUT);
        client.getTransport().setConnectionPoolFactory(destination -> {
            DuplexConnectionPool pool = new DuplexConnectionPool(destination, MAX_CONNECTIONS);
            pool.setMaxUsage(REQUESTS_PER_CONNECTION);
            return pool;
        });
        return start(client);
    }

    /**
     * Creates a client for the router's own calls that reuses pooled connections.
     *
     * @param maxHeadBytes largest head of a response
     */
    static HttpClient forControl(Executor executor, Scheduler scheduler, int maxHeadBytes) {
        HttpClient client = create(executor, scheduler, maxHeadBytes, MAX_CONTROL_RESPONSE_BYTES);
        client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        return start(client);
    }

    private static HttpClient create(Executor executor, Scheduler scheduler, int maxHeadBytes, long creditBytes) {
        ClientConnector connector = new ResetAwareConnector();
        connector.setSelectors(1);
        connector.setExecutor(executor);
        connector.setScheduler(scheduler);
        HttpClient client = new HttpClient(new BoundedHeadTransport(connector));
        client.setExecutor(executor);
        client.setScheduler(scheduler);
        // With the client's pool, two connections now and then shared one buffer while one of them was being closed. A
        // buffer lives as short as its connection, so that it is cheap on the heap and expensive as direct memory.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.setSocketAddressResolver(new SocketAddressResolver.Sync());
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setMaxResponseHeadersSize(maxHeadBytes);
        client.getRequestListeners()
                .addBeginListener(request -> ReadCredit.of(request).ifPresent(credit -> credit.reset(creditBytes)));
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        return client;
    }

    private static HttpClient start(HttpClient client) {
        try {
            client.start();
        } catch (Exception e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the HTTP client did not start: " + e, e);
        }
        InterimResponses.handleOnly(client);
        client.getContentDecoderFactories().clear();
        return client;
    }
}
