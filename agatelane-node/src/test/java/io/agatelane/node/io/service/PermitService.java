package io.agatelane.node.io.service;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** An HTTP service that counts how often each booking ran. */
final class PermitService implements AutoCloseable {
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    volatile Mode mode = Mode.RESPOND;
    volatile int responseBytes = 10;
    volatile String loadReport = "{\"running\":0,\"waiting\":0,\"slots\":4}";
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server);

    /** Reaction to a booked call after it has run. */
    enum Mode {
        RESPOND,
        CLOSE_CONNECTION,
        NO_RESPONSE,
        REDIRECT
    }

    PermitService() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) throws Exception {
                serve(request, response, callback);
                return true;
            }
        });
        server.start();
    }

    String baseUrl() {
        return "http://127.0.0.1:" + connector.getLocalPort();
    }

    int runs(String key) {
        AtomicInteger count = runs.get(key);
        return count == null ? 0 : count.get();
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }

    private void serve(Request request, Response response, Callback callback) throws Exception {
        String path = request.getHttpURI().getPath();
        if (path.equals("/load")) {
            Content.Sink.write(response, true, loadReport, callback);
            return;
        }
        if (path.startsWith("/status/")) {
            boolean known = runs.containsKey(path.substring("/status/".length()));
            response.setStatus(known ? 200 : 404);
            Content.Sink.write(response, true, known ? "recorded" : "", callback);
            return;
        }
        Content.Source.asString(request, StandardCharsets.UTF_8);
        String key = request.getHeaders().get("Idempotency-Key");
        int run = runs.computeIfAbsent(key, unused -> new AtomicInteger()).incrementAndGet();
        switch (mode) {
            case RESPOND -> {
                response.setStatus(201);
                response.getHeaders().put("Content-Type", "application/vnd.permits+json");
                String text = "run " + run + " " + "x".repeat(responseBytes);
                Content.Sink.write(response, true, text, callback);
            }
            case REDIRECT -> {
                response.setStatus(307);
                response.getHeaders().put("Location", baseUrl() + "/renewals");
                callback.succeeded();
            }
            case CLOSE_CONNECTION -> request.getConnectionMetaData()
                    .getConnection()
                    .getEndPoint()
                    .close();
            default -> {
                // The callback is never completed, so the caller gets no response.
            }
        }
    }
}
