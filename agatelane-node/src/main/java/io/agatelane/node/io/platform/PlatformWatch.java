package io.agatelane.node.io.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;

/**
 * Watches one key through a streamed response of the gateway.
 *
 * <p>The key is also read after each connect, so that a write between two connections is reported, and periodically,
 * because a connection can stop delivering data without an error. When a periodic read finds a write that the watch has
 * not reported, the connection is replaced.
 */
final class PlatformWatch {
    private static final EventLog LOG = EventLog.of(PlatformWatch.class);
    private static final long READ_PERIOD_MILLIS = 3_000;
    private static final long FIRST_RECONNECT_DELAY_MILLIS = 100;
    private static final long MAX_RECONNECT_DELAY_MILLIS = 2_000;
    private static final int MAX_LINE_BYTES = 4 << 20;

    private final PlatformClient client;
    private final NodeContext context;
    private final String key;
    private final Consumer<KeyValue> listener;
    private Subscription periodicRead = () -> {};
    private Connection connection;
    private long reconnectDelayMillis = FIRST_RECONNECT_DELAY_MILLIS;
    private long lastReportedRevision;
    private boolean cancelled;

    PlatformWatch(PlatformClient client, NodeContext context, String key, Consumer<KeyValue> listener) {
        this.client = client;
        this.context = context;
        this.key = key;
        this.listener = listener;
    }

    synchronized void start() {
        periodicRead = context.timers().every("platform_watch_check", READ_PERIOD_MILLIS, () -> readKey(connection()));
        connect();
    }

    synchronized void cancel() {
        cancelled = true;
        periodicRead.cancel();
        if (connection != null) {
            var unused = connection.request.abort(new IOException("the watch was cancelled"));
            connection = null;
        }
    }

    private synchronized void connect() {
        if (cancelled) {
            return;
        }
        long waitMillis = client.reserveCall();
        if (waitMillis < 0) {
            context.timers().after(MAX_RECONNECT_DELAY_MILLIS, this::connect);
        } else if (waitMillis > 0) {
            context.timers().after(waitMillis, this::open);
        } else {
            open();
        }
    }

    private synchronized void open() {
        if (cancelled || connection != null) {
            return;
        }
        Connection opened = new Connection(client.newRequest("/v3/watch", GatewayJson.watch(key)));
        connection = opened;
        // The response carries no data while nothing is written; the periodic read replaces the idle timeout.
        opened.request
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .onResponseContent(opened)
                .send(result -> context.control().execute(() -> connectionEnded(opened, result)));
    }

    private synchronized void connectionEnded(Connection ended, Result result) {
        if (connection != ended) {
            return;
        }
        connection = null;
        if (cancelled) {
            return;
        }
        LOG.event("platform_watch_ended")
                .with("key", key)
                .with("cause", PlatformClient.describe(result.getFailure()))
                .with("reconnect_millis", reconnectDelayMillis)
                .warning();
        context.timers().after(reconnectDelayMillis, this::connect);
        reconnectDelayMillis = Math.min(MAX_RECONNECT_DELAY_MILLIS, reconnectDelayMillis * 2);
    }

    private synchronized Connection connection() {
        return connection;
    }

    // Replaces the given connection if it has not reported the write that the read finds; null only reports the write.
    private void readKey(Connection checked) {
        long reportedBefore = lastReportedRevision();
        Futures.whenDone(client.get(key), context.control(), (value, failure) -> {
            if (failure == null && value.isPresent()) {
                reportIfMissed(value.get(), checked, reportedBefore);
            }
        });
    }

    private synchronized long lastReportedRevision() {
        return lastReportedRevision;
    }

    // A watch that has reported during the read is alive, and what the read found may be older than that report.
    // Numbers
    // are not compared, because they are lower after a restore of the platform.
    private void reportIfMissed(KeyValue value, Connection checked, long reportedBefore) {
        synchronized (this) {
            if (cancelled || value.revision() == lastReportedRevision || lastReportedRevision != reportedBefore) {
                return;
            }
            if (checked != null && checked == connection) {
                var unused = checked.request.abort(new IOException("the watch missed revision " + value.revision()));
            }
        }
        report(value);
    }

    private void report(KeyValue value) {
        synchronized (this) {
            if (cancelled) {
                return;
            }
            lastReportedRevision = value.revision();
        }
        listener.accept(value);
    }

    private synchronized void watchCreated() {
        reconnectDelayMillis = FIRST_RECONNECT_DELAY_MILLIS;
        readKey(null);
    }

    /** One streamed response, which is split into lines with one JSON message each. */
    private final class Connection implements Response.ContentListener {
        private final Request request;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();

        private Connection(Request request) {
            this.request = request;
        }

        @Override
        public void onContent(Response response, ByteBuffer content) throws IOException {
            while (content.hasRemaining()) {
                byte next = content.get();
                if (next == '\n') {
                    handleMessage(GatewayJson.parse(line.toByteArray()));
                    line.reset();
                } else {
                    line.write(next);
                }
                if (line.size() > MAX_LINE_BYTES) {
                    throw new IOException("a line of the watch response is longer than " + MAX_LINE_BYTES + " bytes");
                }
            }
        }

        private void handleMessage(JsonNode message) throws IOException {
            JsonNode result = message.path("result");
            if (message.has("error") || result.path("canceled").asBoolean(false)) {
                throw new IOException("the platform ended the watch: " + message);
            }
            if (result.path("created").asBoolean(false)) {
                context.control().execute(PlatformWatch.this::watchCreated);
            }
            for (JsonNode event : result.path("events")) {
                if (!event.path("type").asText("PUT").equals("DELETE")) {
                    KeyValue value = GatewayJson.keyValue(event.path("kv"));
                    context.control().execute(() -> report(value));
                }
            }
        }
    }
}
