package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.LabClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client of the block store in another engine process. */
final class RemoteKvBlockStore implements KvBlockStore {
    private final LabClient client;
    private final String url;

    RemoteKvBlockStore(LabClient client, String url) {
        this.client = client;
        this.url = url;
    }

    @Override
    public CompletableFuture<Void> save(List<String> keys) {
        return client.post(url + "/kept/save", body(keys)).thenApply(response -> null);
    }

    @Override
    public CompletableFuture<List<String>> find(List<String> keys) {
        return client.post(url + "/kept/find", body(keys)).thenApply(response -> keysOf(response));
    }

    @Override
    public CompletableFuture<Integer> addRunningLoads(int delta) {
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("delta", delta);
        return client.post(url + "/kept/loads", body)
                .thenApply(response -> response.path("loads").asInt());
    }

    static ObjectNode body(List<String> keys) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        ArrayNode array = node.putArray("keys");
        keys.forEach(array::add);
        return node;
    }

    static List<String> keysOf(JsonNode body) {
        List<String> keys = new ArrayList<>();
        body.path("keys").forEach(key -> keys.add(key.asText()));
        return keys;
    }
}
