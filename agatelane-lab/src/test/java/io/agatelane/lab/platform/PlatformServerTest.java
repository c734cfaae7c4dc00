package io.agatelane.lab.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.Exchange;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.http.LabServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PlatformServerTest {
    private PlatformServer server;
    private LabClient client;

    @BeforeMethod
    public void start() {
        server = new PlatformServer(LabServer.parseAddress("127.0.0.1:0")).start();
        client = new LabClient();
    }

    @AfterMethod
    public void stop() {
        client.close();
        server.close();
    }

    /** Guards against a lost response that also loses the write: then no write would have an unknown outcome. */
    @Test
    public void lostResponseLeavesTheWriteInForce() {
        faults("loseReplies", 1);
        assertThrows(CompletionException.class, () -> put("a"));
        assertEquals(get().path("kvs").path(0).path("value").asText(), base64("a"));
        put("b");
        assertEquals(get().path("kvs").path(0).path("version").asText(), "2");
    }

    /** Guards against an outage in which a refused write takes effect. */
    @Test
    public void outageRefusesCallsWithoutEffect() {
        put("a");
        client.put(server.url() + "/lab/faults", node().put("outage", true)).join();
        assertThrows(CompletionException.class, () -> put("b"));
        client.put(server.url() + "/lab/faults", node().put("outage", false)).join();
        assertEquals(get().path("kvs").path(0).path("value").asText(), base64("a"));
    }

    /** Guards against a rate limit that does not count calls, or that also counts reads as writes. */
    @Test
    public void writesOverTheRateAreRefusedWith429() {
        faults("writesPerSecond", 1);
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            if (status("/v3/kv/put", putBody("v" + i)) == 429) {
                refused++;
            }
        }
        assertTrue(refused > 0);
        assertEquals(status("/v3/kv/range", node().put("key", base64("k"))), 200);
    }

    /** Guards against formats that differ from the etcd gateway: 64-bit numbers as strings, zero values omitted. */
    @Test
    public void transactionResponsesHaveTheGatewaysFormat() {
        put("a");
        JsonNode won = txn(2, "b");
        assertTrue(won.path("succeeded").asBoolean());
        assertEquals(won.path("header").path("revision").asText(), "3");
        JsonNode lost = txn(2, "c");
        assertFalse(lost.has("succeeded"));
        JsonNode current = lost.path("responses")
                .path(0)
                .path("response_range")
                .path("kvs")
                .path(0);
        assertEquals(current.path("mod_revision").asText(), "3");
        assertEquals(status("/v3/kv/put", node().put("key", "***")), 400);
    }

    /** Guards against a watch that buffers: each line must arrive while the stream stays open. */
    @Test(timeOut = 20_000)
    public void watchSendsCreatedFirstAndEachEventAtOnce() throws IOException {
        put("a");
        ObjectNode request = node();
        request.putObject("create_request").put("key", base64("k")).put("start_revision", "2");
        InputStreamResponseListener listener = new InputStreamResponseListener();
        client.http()
                .POST(server.url() + "/v3/watch")
                .body(new StringRequestContent("application/json", request.toString()))
                .send(listener);
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(listener.getInputStream(), StandardCharsets.UTF_8))) {
            assertTrue(result(lines).path("created").asBoolean());
            assertEquals(eventValue(result(lines)), base64("a"));
            put("b");
            assertEquals(eventValue(result(lines)), base64("b"));
            delete();
            JsonNode event = result(lines).path("events").path(0);
            assertEquals(event.path("type").asText(), "DELETE");
        }
    }

    /** Guards against a restore that does not bring back the state of the backup. */
    @Test
    public void restoreBringsBackTheBackup() {
        put("a");
        JsonNode backup = client.get(server.url() + "/lab/backup").join();
        put("b");
        client.post(server.url() + "/lab/restore", (ObjectNode) backup).join();
        assertEquals(get().path("kvs").path(0).path("value").asText(), base64("a"));
        assertEquals(get().path("header").path("revision").asText(), "2");
    }

    private static JsonNode result(BufferedReader lines) throws IOException {
        return Exchange.MAPPER.readTree(lines.readLine()).path("result");
    }

    private static String eventValue(JsonNode result) {
        return result.path("events").path(0).path("kv").path("value").asText();
    }

    private JsonNode txn(long expectedRevision, String value) {
        ObjectNode body = node();
        body.putArray("compare")
                .addObject()
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("key", base64("k"))
                .put("mod_revision", Long.toString(expectedRevision));
        body.putArray("success").addObject().set("request_put", putBody(value));
        body.putArray("failure").addObject().putObject("request_range").put("key", base64("k"));
        return client.post(server.url() + "/v3/kv/txn", body).join();
    }

    private void put(String value) {
        client.post(server.url() + "/v3/kv/put", putBody(value)).join();
    }

    private void delete() {
        client.post(server.url() + "/v3/kv/deleterange", node().put("key", base64("k")))
                .join();
    }

    private JsonNode get() {
        return client.post(server.url() + "/v3/kv/range", node().put("key", base64("k")))
                .join();
    }

    private int status(String path, ObjectNode body) {
        return client.call(HttpMethod.POST, server.url() + path, body, Map.of(), 5_000)
                .join()
                .status();
    }

    private void faults(String name, int value) {
        client.put(server.url() + "/lab/faults", node().put(name, value)).join();
    }

    private static ObjectNode putBody(String value) {
        return node().put("key", base64("k")).put("value", base64(value));
    }

    private static ObjectNode node() {
        return JsonNodeFactory.instance.objectNode();
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
