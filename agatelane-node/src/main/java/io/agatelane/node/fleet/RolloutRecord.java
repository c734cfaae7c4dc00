package io.agatelane.node.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.ClockReading;
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
 * @param requestedAtEpochMillis model to the wall-clock times at which the holder first read its requested versions, for
 *     routers that have started since
 */
public record RolloutRecord(
        String holder,
        Set<String> reserved,
        Map<String, Map<String, Long>> loadedWeights,
        Map<String, Map<Long, Long>> requestedAtEpochMillis) {
    /** Key of the record in the store. */
    public static final String KEY = "agatelane/rollout";

    /** The record when no router holds the roll-out lease. */
    public static final RolloutRecord NONE = new RolloutRecord("", Set.of(), Map.of(), Map.of());

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HOLDER = "holder";
    private static final String RESERVED = "reserved";
    private static final String LOADED_WEIGHTS = "loadedWeights";
    private static final String REQUESTED_AT = "requestedAtMillis";

    public RolloutRecord {
        reserved = Set.copyOf(reserved);
        loadedWeights = copyOf(loadedWeights);
        requestedAtEpochMillis = copyOf(requestedAtEpochMillis);
    }

    private static <K> Map<String, Map<K, Long>> copyOf(Map<String, Map<K, Long>> maps) {
        return maps.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> Map.copyOf(entry.getValue())));
    }

    /** Returns the same record of another holder. */
    RolloutRecord withHolder(String newHolder) {
        return new RolloutRecord(newHolder, reserved, loadedWeights, requestedAtEpochMillis);
    }

    /**
     * Returns when the versions of a model were first read, in the clocks of this router. Times after the current one,
     * which a stepped wall clock causes, are left out.
     */
    Map<Long, ClockReading> requestTimes(String model, ClockReading now) {
        return requestedAtEpochMillis.getOrDefault(model, Map.of()).entrySet().stream()
                .filter(entry -> entry.getValue() <= now.epochMillis())
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> now.earlierBy(now.epochMillis() - entry.getValue())));
    }

    /** Encodes the record as JSON. */
    public byte[] encode() {
        ObjectNode node = MAPPER.createObjectNode().put(HOLDER, holder);
        reserved.forEach(node.putArray(RESERVED)::add);
        ObjectNode loaded = node.putObject(LOADED_WEIGHTS);
        loadedWeights.forEach((upstream, versions) -> versions.forEach(loaded.putObject(upstream)::put));
        ObjectNode requested = node.putObject(REQUESTED_AT);
        requestedAtEpochMillis.forEach((model, times) -> {
            ObjectNode byVersion = requested.putObject(model);
            times.forEach((version, epochMillis) -> byVersion.put(Long.toString(version), epochMillis));
        });
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
            Map<String, Map<Long, Long>> requested = new HashMap<>();
            node.path(REQUESTED_AT)
                    .fields()
                    .forEachRemaining(entry -> requested.put(entry.getKey(), byVersion(entry.getValue())));
            return new RolloutRecord(node.path(HOLDER).asText(), reserved, loaded, requested);
        } catch (IOException | NumberFormatException e) {
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

    private static Map<Long, Long> byVersion(JsonNode node) {
        return numbers(node).entrySet().stream()
                .collect(Collectors.toMap(entry -> Long.valueOf(entry.getKey()), Map.Entry::getValue));
    }
}
