package io.agatelane.node.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What the holder of the roll-out lease publishes to the other routers through the store.
 *
 * @param holder VM that gives the orders
 * @param reserved ids of upstreams that take no requests because they are about to load weights
 * @param loadedWeights upstream key to the versions that it has loaded, by model
 */
public record RolloutRecord(String holder, Set<String> reserved, Map<String, Map<String, Long>> loadedWeights) {
    /** Key of the record in the store. */
    public static final String KEY = "agatelane/rollout";

    /** The record when no router holds the roll-out lease. */
    public static final RolloutRecord NONE = new RolloutRecord("", Set.of(), Map.of());

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HOLDER = "holder";
    private static final String RESERVED = "reserved";
    private static final String LOADED_WEIGHTS = "loadedWeights";

    public RolloutRecord {
        reserved = Set.copyOf(reserved);
        loadedWeights = loadedWeights.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> Map.copyOf(entry.getValue())));
    }

    /** Returns the same record of another holder. */
    RolloutRecord withHolder(String newHolder) {
        return new RolloutRecord(newHolder, reserved, loadedWeights);
    }

    /** Encodes the record as JSON. */
    public byte[] encode() {
        ObjectNode node = MAPPER.createObjectNode().put(HOLDER, holder);
        reserved.forEach(node.putArray(RESERVED)::add);
        ObjectNode loaded = node.putObject(LOADED_WEIGHTS);
        loadedWeights.forEach((upstream, versions) -> versions.forEach(loaded.putObject(upstream)::put));
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the roll-out record cannot be encoded as JSON", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @throws AgatelaneException with {@code INVALID_OBJECT}
     */
    public static RolloutRecord decode(byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            Set<String> reserved = new HashSet<>();
            node.path(RESERVED).forEach(id -> reserved.add(id.asText()));
            Map<String, Map<String, Long>> loaded = new HashMap<>();
            node.path(LOADED_WEIGHTS)
                    .fields()
                    .forEachRemaining(entry -> loaded.put(entry.getKey(), numbers(entry.getValue())));
            return new RolloutRecord(node.path(HOLDER).asText(), reserved, loaded);
        } catch (IOException e) {
            throw new AgatelaneException(FailureType.INVALID_OBJECT, "the roll-out record is malformed", e);
        }
    }

    private static Map<String, Long> numbers(JsonNode node) {
        Map<String, Long> numbers = new HashMap<>();
        node.fields()
                .forEachRemaining(
                        entry -> numbers.put(entry.getKey(), entry.getValue().asLong()));
        return numbers;
    }
}
