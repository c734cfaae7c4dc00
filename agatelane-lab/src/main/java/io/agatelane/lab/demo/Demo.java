package io.agatelane.lab.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.http.LabClient.LabResponse;
import io.agatelane.lab.load.Arrival;
import io.agatelane.lab.load.ChatReader;
import io.agatelane.lab.load.LocalSystem;
import io.agatelane.lab.load.PromptLevel;
import io.agatelane.lab.load.WorkloadClass;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.http.HttpMethod;

/** Sends streaming requests with nested prefixes and one booking many times, and checks the responses. */
public final class Demo {
    private static final long TIMEOUT_MILLIS = 30_000;
    private static final int DISTRICTS = 2;
    private static final int DOSSIERS = 3;
    private static final int MAX_TOKENS = 12;
    private static final int MAX_BOOKING_ROUNDS = 50;
    // A token has 4 bytes and each repeated word 7. With 2,000, 800 and 400 tokens every level spans whole blocks.
    private static final int REGULATION_TOKENS = 2_000;
    private static final int DISTRICT_TOKENS = 800;
    private static final int DOSSIER_TOKENS = 400;

    private final LabClient client;
    private final LocalSystem system;
    private final int retries;
    private boolean passed = true;

    /** Creates a run against a system; the booking is sent {@code retries} times at once. */
    public Demo(LabClient client, LocalSystem system, int retries) {
        this.client = client;
        this.system = system;
        this.retries = retries;
    }

    /** Sends all requests and returns whether every check passed. */
    public boolean run() throws InterruptedException {
        long promptTokens = 0;
        long cachedTokens = 0;
        int index = 0;
        for (int dossier = 0; dossier < DOSSIERS; dossier++) {
            for (int district = 0; district < DISTRICTS; district++) {
                ChatReader reader = chat(index++, district, dossier);
                promptTokens += reader.promptTokens();
                cachedTokens += reader.cachedTokens();
            }
        }
        String key = "renewal-" + Long.toHexString(System.nanoTime());
        sendBookings(key);
        int executions = executions(key);
        check(executions == 1, "the booking ran " + executions + " times");
        double hitRate = promptTokens == 0 ? 0 : 100.0 * cachedTokens / promptTokens;
        check(cachedTokens > 0, "no prompt token came from a cache");
        System.out.printf(
                "summary: %d streams, prefix hit rate %.1f%% (%d of %d prompt tokens), booking executions %d%n",
                index, hitRate, cachedTokens, promptTokens, executions);
        System.out.println(passed ? "demo: everything was right" : "demo: something was wrong, see above");
        return passed;
    }

    private ChatReader chat(int index, int district, int dossier) {
        Arrival arrival = arrivalOf(index, district, dossier);
        String url = system.routerUrls().get(index % system.routerUrls().size());
        LabResponse response = call(
                url + "/v1/chat/completions",
                arrival.body(),
                Map.of("Authorization", "Bearer " + system.apiKeys().get(0)));
        ChatReader reader = new ChatReader(() -> {});
        String name = "district " + district + " dossier " + dossier + " through " + url;
        if (response.status() != 200) {
            check(false, name + ": status " + response.status() + " " + response.text());
            return reader;
        }
        reader.feed(ByteBuffer.wrap(response.text().getBytes(StandardCharsets.UTF_8)));
        System.out.printf(
                "%s: \"%s\" cached %d of %d prompt tokens, last event %s%n",
                name, reader.text().strip(), reader.cachedTokens(), reader.promptTokens(), reader.lastEventId());
        check(reader.isDone() && reader.problem().isEmpty(), name + ": incomplete stream " + reader.problem());
        check(reader.text().equals(arrival.expectedText("v1")), name + ": the text is not the engine's");
        return reader;
    }

    private Arrival arrivalOf(int index, int district, int dossier) {
        WorkloadClass dossierCheck =
                new WorkloadClass("demo", "chat", system.models().get(0), 1, List.<PromptLevel>of(), 0, MAX_TOKENS);
        List<String> texts = List.of(
                "Municipal regulations on skips. " + "clause ".repeat(REGULATION_TOKENS * 4 / 7),
                "District " + district + ". " + "street ".repeat(DISTRICT_TOKENS * 4 / 7),
                "Dossier " + district + "-" + dossier + ". " + "permit ".repeat(DOSSIER_TOKENS * 4 / 7),
                "Is the renewal admissible?");
        return new Arrival(index, 0, dossierCheck, 0, texts, "demo-" + index);
    }

    /** Sends the booking many times at once through all routers, and repeats those that were not confirmed. */
    private void sendBookings(String key) throws InterruptedException {
        Map<String, Integer> outcomes = new TreeMap<>();
        List<String> serials = new ArrayList<>();
        int unconfirmed = retries;
        for (int round = 0; round < MAX_BOOKING_ROUNDS && unconfirmed > 0; round++) {
            List<CompletableFuture<LabResponse>> calls = new ArrayList<>();
            for (int i = 0; i < unconfirmed; i++) {
                calls.add(sendBooking(key, i));
            }
            for (CompletableFuture<LabResponse> call : calls) {
                LabResponse response = join(call);
                outcomes.merge(response == null ? "no answer" : "status " + response.status(), 1, Integer::sum);
                if (response != null && response.status() == 200) {
                    unconfirmed--;
                    serials.add(serialOf(response, key));
                }
            }
            Thread.sleep(unconfirmed > 0 ? 100 : 0);
        }
        System.out.println("booking " + key + ": " + outcomes + ", serials "
                + serials.stream().distinct().toList());
        check(unconfirmed == 0, unconfirmed + " callers got no confirmation");
        check(serials.stream().distinct().count() == 1, "callers got different confirmations");
    }

    private CompletableFuture<LabResponse> sendBooking(String key, int index) {
        String url = system.routerUrls().get(index % system.routerUrls().size());
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("permit", "skip-4711");
        Map<String, String> headers =
                Map.of("Authorization", "Bearer " + system.apiKeys().get(0), "Idempotency-Key", key);
        return client.call(HttpMethod.POST, url + system.bookingPaths().get(0), body, headers, TIMEOUT_MILLIS);
    }

    private String serialOf(LabResponse response, String key) {
        JsonNode confirmation = response.json();
        check(key.equals(confirmation.path("key").asText()), "a confirmation belongs to another booking");
        return confirmation.path("serial").asText();
    }

    private int executions(String key) {
        int executions = 0;
        for (String url : system.executionsUrls()) {
            executions += client.get(url).join().path(key).asInt();
        }
        return executions;
    }

    private LabResponse call(String url, ObjectNode body, Map<String, String> headers) {
        return client.call(HttpMethod.POST, url, body, headers, TIMEOUT_MILLIS).join();
    }

    private static LabResponse join(CompletableFuture<LabResponse> call) {
        try {
            return call.join();
        } catch (CompletionException e) {
            return null;
        }
    }

    private void check(boolean condition, String message) {
        if (!condition) {
            passed = false;
            System.out.println("WRONG: " + message);
        }
    }
}
