package io.agatelane.node.io.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.node.api.KeyValue;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;

/** Builds and parses JSON gateway bodies: keys and values in base64, 64-bit numbers as strings, zeros left out. */
final class GatewayJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private GatewayJson() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static JsonNode parse(byte[] bytes) throws IOException {
        return MAPPER.readTree(bytes);
    }

    static byte[] bytes(ObjectNode node) throws IOException {
        return MAPPER.writeValueAsBytes(node);
    }

    static String encodeKey(String key) {
        return encode(key.getBytes(StandardCharsets.UTF_8));
    }

    static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    static ObjectNode range(String key) {
        return object().put("key", encodeKey(key));
    }

    static ObjectNode prefixRange(String prefix) {
        return range(prefix).put("range_end", encode(prefixEnd(prefix)));
    }

    /** A transaction that does one put or delete if the key has the expected revision. */
    static ObjectNode transaction(String key, long expectedRevision, String operation, ObjectNode request) {
        ObjectNode node = object();
        node.putArray("compare")
                .addObject()
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("key", encodeKey(key))
                .put("mod_revision", Long.toString(expectedRevision));
        node.putArray("success").addObject().set(operation, request);
        return node;
    }

    static ObjectNode watch(String key) {
        ObjectNode node = object();
        node.putObject("create_request").put("key", encodeKey(key));
        return node;
    }

    static List<KeyValue> keyValues(JsonNode response) {
        List<KeyValue> result = new ArrayList<>();
        for (JsonNode kv : response.path("kvs")) {
            result.add(keyValue(kv));
        }
        return result;
    }

    static KeyValue keyValue(JsonNode kv) {
        Base64.Decoder decoder = Base64.getDecoder();
        String key = new String(decoder.decode(kv.path("key").asText("")), StandardCharsets.UTF_8);
        return new KeyValue(key, decoder.decode(kv.path("value").asText("")), number(kv.path("mod_revision")));
    }

    /** Reads a 64-bit number that is given as a string or a number; 0 when it is missing. */
    static long number(JsonNode node) {
        return node.isTextual() ? Long.parseLong(node.asText()) : node.asLong(0);
    }

    // Returns the first key after all keys with the prefix.
    private static byte[] prefixEnd(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        for (int i = end.length - 1; i >= 0; i--) {
            if (end[i] != (byte) 0xff) {
                end[i]++;
                return Arrays.copyOf(end, i + 1);
            }
        }
        return new byte[1];
    }
}
