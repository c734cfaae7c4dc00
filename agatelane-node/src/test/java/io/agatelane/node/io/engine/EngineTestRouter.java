package io.agatelane.node.io.engine;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.control.ControlThread;
import io.agatelane.node.fakes.FakeConfigView;
import io.agatelane.node.fakes.NodeContexts;
import io.agatelane.node.io.http.Authenticator;
import io.agatelane.node.io.http.HttpFrontend;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** A router's model traffic with an HTTP server on a free port, and a caller. */
final class EngineTestRouter implements AutoCloseable {
    static final String KEY = "key-a";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_CONDITION_CHECKS = 3_000;
    private static final int CHECK_PERIOD_MILLIS = 10;

    final EngineTraffic traffic;
    final MetricRegistry metrics = new MetricRegistry();
    private final ControlThread control;
    private final HttpFrontend frontend;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    EngineTestRouter(String name, FakeConfigView config, FakeGossipHintExchange hintExchange) {
        control = new ControlThread(name);
        NodeContext context = new NodeContext(NodeContexts.settings(name), 1, control, control, metrics);
        traffic = new EngineTraffic(context, config, hintExchange.attach(), new Authenticator(config));
        frontend = new HttpFrontend(NodeContexts.settings(name).httpAddress(), List.of(traffic.handler()));
        frontend.start();
        traffic.start();
    }

    /** One event of a stream. */
    record Event(String id, String type, String data) {
        JsonNode json() {
            try {
                return MAPPER.readTree(data);
            } catch (IOException e) {
                throw new IllegalStateException(data, e);
            }
        }
    }

    static String body(boolean stream, String... messages) {
        var node = MAPPER.createObjectNode().put("model", "m").put("stream", stream);
        var array = node.putArray("messages");
        for (String message : messages) {
            array.addObject().put("role", "user").put("content", message);
        }
        return node.toString();
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + frontend.port() + path))
                .header("Authorization", "Bearer " + KEY);
    }

    HttpResponse<String> post(String body, String... headers) throws Exception {
        HttpRequest.Builder builder = request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> send(HttpRequest request) throws Exception {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<InputStream> openStream(String body) throws Exception {
        HttpRequest request = request("/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofInputStream());
    }

    static List<Event> events(String text) {
        try (BufferedReader reader = new BufferedReader(new java.io.StringReader(text))) {
            List<Event> events = new ArrayList<>();
            Event event = readEvent(reader);
            while (event != null) {
                events.add(event);
                event = readEvent(reader);
            }
            return events;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static BufferedReader reader(HttpResponse<InputStream> response) {
        return new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
    }

    /** Reads one event; null at the end. */
    static Event readEvent(BufferedReader reader) throws IOException {
        String id = "";
        String type = "";
        String data = null;
        String line = reader.readLine();
        while (line != null) {
            if (line.startsWith("id: ")) {
                id = line.substring(4);
            } else if (line.startsWith("event: ")) {
                type = line.substring(7);
            } else if (line.startsWith("data: ")) {
                data = line.substring(6);
            } else if (line.isEmpty() && data != null) {
                return new Event(id, type, data);
            }
            line = reader.readLine();
        }
        return null;
    }

    static String content(List<Event> events) {
        StringBuilder out = new StringBuilder();
        for (Event event : events) {
            if (event.type().isEmpty() && !event.data().equals("[DONE]")) {
                out.append(event.json()
                        .path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText(""));
            }
        }
        return out.toString();
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < MAX_CONDITION_CHECKS; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(CHECK_PERIOD_MILLIS);
        }
        throw new AssertionError("condition not met in time: " + what);
    }

    void awaitReady(int engines) throws InterruptedException {
        await(
                "engines ready",
                () -> traffic.upstreams().stream()
                                .filter(upstream -> upstream.getState().equals("ready"))
                                .count()
                        == engines);
    }

    /** Requests that the router counts as running on engines. */
    int inFlight() {
        return traffic.inFlight();
    }

    long counter(String name) {
        return metrics.counter(name).getCount();
    }

    @Override
    public void close() {
        frontend.close();
        traffic.close();
        control.close();
    }
}
