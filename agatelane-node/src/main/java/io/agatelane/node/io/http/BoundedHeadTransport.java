package io.agatelane.node.io.http;

import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.client.transport.HttpClientConnectionFactory;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * HTTP/1.1 for clients, with a limit for the number of fields of a response, and without interim responses that
 * nobody has asked for.
 *
 * <p>A field of four bytes takes more than a hundred bytes of memory, so the limit of the bytes of a head does not bound
 * the memory that it takes. Trailers are bounded as well: no listener of the client sees them before the response ends.
 */
public final class BoundedHeadTransport extends HttpClientTransportOverHTTP {
    // Upstreams send some ten fields. The heads and trailers of 450 responses with as many as this take 16 MB.
    private static final int MAX_RESPONSE_FIELDS = 256;
    // An upstream sends one or two; more of them would hold the connection without an answer.
    private static final int MAX_INTERIM_RESPONSES = 16;
    // The interim responses for which the client has handlers.
    private static final Set<Integer> SKIPPED_STATUSES =
            Set.of(HttpStatus.CONTINUE_100, HttpStatus.PROCESSING_102, HttpStatus.EARLY_HINT_103);

    private final HttpClientConnectionFactory factory = new HttpClientConnectionFactory();

    /** Creates a transport whose connections are opened by a connector. */
    public BoundedHeadTransport(ClientConnector connector) {
        super(connector);
    }

    @Override
    public Connection newConnection(EndPoint endPoint, Map<String, Object> context) {
        HttpConnectionOverHTTP connection = new BoundedConnection(endPoint, context);
        connection.setInitialize(isInitializeConnections());
        return factory.customize(connection, context);
    }

    private static final class BoundedConnection extends HttpConnectionOverHTTP {
        private BoundedConnection(EndPoint endPoint, Map<String, Object> context) {
            super(endPoint, context);
        }

        @Override
        protected HttpChannelOverHTTP newHttpChannel() {
            return new BoundedChannel(this);
        }
    }

    private static final class BoundedChannel extends HttpChannelOverHTTP {
        private BoundedChannel(HttpConnectionOverHTTP connection) {
            super(connection);
        }

        @Override
        protected HttpReceiverOverHTTP newHttpReceiver() {
            return new BoundedReceiver(this);
        }
    }

    private static final class BoundedReceiver extends HttpReceiverOverHTTP {
        private int fields;
        private int interims;

        private BoundedReceiver(HttpChannelOverHTTP channel) {
            super(channel);
        }

        @Override
        public void startResponse(HttpVersion version, int status, String reason) {
            fields = 0;
            checkInterim(status);
            super.startResponse(version, status, reason);
        }

        // The client takes an interim response that it does not know for the final one and returns its connection to
        // the pool, where the final response would be taken for that to the next request.
        private void checkInterim(int status) {
            interims = HttpStatus.isInterim(status) ? interims + 1 : 0;
            if (interims > MAX_INTERIM_RESPONSES || (interims > 0 && !SKIPPED_STATUSES.contains(status))) {
                throw new HttpException.RuntimeException(
                        HttpStatus.BAD_GATEWAY_502, "unexpected interim response " + status);
            }
        }

        @Override
        public void parsedHeader(HttpField field) {
            count();
            super.parsedHeader(field);
        }

        @Override
        public void parsedTrailer(HttpField field) {
            count();
            super.parsedTrailer(field);
        }

        // The parser passes the failure on to the request and closes the connection.
        private void count() {
            fields++;
            if (fields > MAX_RESPONSE_FIELDS) {
                throw new HttpException.RuntimeException(
                        HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431,
                        "the response has more than " + MAX_RESPONSE_FIELDS + " fields");
            }
        }
    }
}
