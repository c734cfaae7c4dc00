package io.agatelane.lab.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.BadRequestException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Formats fields as the etcd v3 JSON gateway does: base64 bytes, 64-bit numbers as strings, zero values omitted. */
final class EtcdJson {
    private EtcdJson() {}

    static ObjectNode withHeader(long revision) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.putObject("header")
                .put("cluster_id", "1")
                .put("member_id", "1")
                .put("revision", Long.toString(revision))
                .put("raft_term", "1");
        return node;
    }

    static ObjectNode keyValue(StoredValue value) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("key", encode(value.key()));
        putNumber(node, "create_revision", value.createRevision());
        putNumber(node, "mod_revision", value.modRevision());
        putNumber(node, "version", value.version());
        if (!value.isDeletion() && value.value().length > 0) {
            node.put("value", Base64.getEncoder().encodeToString(value.value()));
        }
        putNumber(node, "lease", value.leaseId());
        return node;
    }

    static void putNumber(ObjectNode node, String name, long number) {
        if (number != 0) {
            node.put(name, Long.toString(number));
        }
    }

    static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Decodes a key; empty when the field is missing. */
    static String key(JsonNode node, String name) {
        return new String(bytes(node, name), StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(JsonNode node, String name) {
        try {
            return Base64.getDecoder().decode(node.path(name).asText(""));
        } catch (IllegalArgumentException e) {
            throw new BadRequestException(name + " is not base64: " + e.getMessage());
        }
    }

    /** Reads a 64-bit number that is a string or a JSON number; 0 when the field is missing. */
    static long number(JsonNode node, String name) {
        JsonNode value = node.path(name);
        try {
            return value.isTextual() ? Long.parseLong(value.asText()) : value.asLong(0);
        } catch (NumberFormatException e) {
            throw new BadRequestException(name + " is not a number: " + value.asText());
        }
    }
}
