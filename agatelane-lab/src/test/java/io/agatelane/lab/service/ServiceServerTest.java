package io.agatelane.lab.service;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.http.LabClient.LabResponse;
import io.agatelane.lab.http.LabServer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.eclipse.jetty.http.HttpMethod;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ServiceServerTest {
    private ServiceServer first;
    private ServiceServer second;
    private LabClient client;

    @BeforeMethod
    public void start() {
        first = newServer("first", List.of());
        second = newServer("second", List.of(first.url()));
        client = new LabClient();
    }

    @AfterMethod
    public void stop() {
        client.close();
        first.close();
        second.close();
    }

    /** Guards against a stand-in that removes duplicates and so hides a booking that ran twice. */
    @Test
    public void everyExecutionIsCounted() {
        String serial = run(first, "k1").json().path("serial").asText();
        run(first, "k1");
        run(first, "k2");
        JsonNode executions = client.get(first.url() + "/executions").join();
        assertEquals(executions.path("k1").asInt(), 2);
        assertEquals(executions.path("k2").asInt(), 1);
        assertEquals(status(first, "k1").json().path("serial").asText(), serial);
    }

    /** Guards against a status call that reports "not run" because another instance ran the call. */
    @Test
    public void statusQueriesTheOtherInstanceOnce() {
        run(first, "k1");
        assertEquals(status(second, "k1").json().path("key").asText(), "k1");
        assertEquals(status(second, "k2").status(), 404);
        first.close();
        assertEquals(status(second, "k3").status(), 503);
    }

    /** Guards against a lost response without an execution, which is the easier case for a router. */
    @Test
    public void callClosedWithoutResponseHasRun() {
        ObjectNode fault = JsonNodeFactory.instance.objectNode().put("closeAfter", 1);
        client.put(first.url() + "/lab/faults", fault).join();
        assertThrows(CompletionException.class, () -> run(first, "k1"));
        assertEquals(status(first, "k1").status(), 200);
        assertEquals(run(first, "k2").status(), 200);
    }

    private static ServiceServer newServer(String name, List<String> peers) {
        return new ServiceServer(LabServer.parseAddress("127.0.0.1:0"), name, peers).start();
    }

    private LabResponse run(ServiceServer server, String key) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        return client.call(HttpMethod.POST, server.url() + "/renewals", body, Map.of("Idempotency-Key", key), 5_000)
                .join();
    }

    private LabResponse status(ServiceServer server, String key) {
        return client.call(HttpMethod.GET, server.url() + "/status/" + key, null, Map.of(), 5_000)
                .join();
    }
}
