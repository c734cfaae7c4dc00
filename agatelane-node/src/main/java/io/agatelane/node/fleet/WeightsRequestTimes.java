package io.agatelane.node.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.RequestedWeights;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Times at which weights were requested, as the holder of the roll-out lease records them in the store. The entry has no
 * lease, so that routers know the times even after all of them have ended.
 *
 * @param earliestEpochMillis model to the wall-clock times from which the allowed time of the weights that a version
 *     replaces counts, by version
 */
public record WeightsRequestTimes(Map<String, Map<Long, Long>> earliestEpochMillis) {
    /** Key of the entry in the store. */
    public static final String KEY = "agatelane/requested-weights";

    /** No times are recorded. */
    public static final WeightsRequestTimes NONE = new WeightsRequestTimes(Map.of());

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String REQUESTED_AT = "requestedAtMillis";

    public WeightsRequestTimes {
        earliestEpochMillis = earliestEpochMillis.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> Map.copyOf(entry.getValue())));
    }

    /** Returns the times that are known of requested weights, by model. */
    static WeightsRequestTimes from(Map<String, RequestedWeights> requestedWeights) {
        Map<String, Map<Long, Long>> times = new HashMap<>();
        requestedWeights.forEach((model, requested) -> {
            Map<Long, Long> epochMillis = new HashMap<>();
            requested.knownTimes().forEach((version, earliest) -> epochMillis.put(version, earliest.epochMillis()));
            if (!epochMillis.isEmpty()) {
                times.put(model, epochMillis);
            }
        });
        return new WeightsRequestTimes(times);
    }

    /**
     * Returns the times of the versions of a model, in the clocks of this router. Times after the current one, which a
     * stepped wall clock causes, are left out.
     */
    Map<Long, ClockReading> of(String model, ClockReading now) {
        return earliestEpochMillis.getOrDefault(model, Map.of()).entrySet().stream()
                .filter(entry -> entry.getValue() <= now.epochMillis())
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> now.earlierBy(now.epochMillis() - entry.getValue())));
    }

    /** Encodes the times as JSON. */
    byte[] encode() {
        ObjectNode node = MAPPER.createObjectNode();
        ObjectNode models = node.putObject(REQUESTED_AT);
        earliestEpochMillis.forEach((model, times) -> {
            ObjectNode byVersion = models.putObject(model);
            times.forEach((version, epochMillis) -> byVersion.put(Long.toString(version), epochMillis));
        });
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new AgatelaneException(
                    FailureType.INTERNAL, "the times of requested weights cannot be encoded as JSON", e);
        }
    }

    /**
     * Decodes the times.
     *
     * @throws AgatelaneException with {@code INVALID_OBJECT}
     */
    static WeightsRequestTimes decode(byte[] value) {
        try {
            Map<String, Map<Long, Long>> models = new HashMap<>();
            for (Map.Entry<String, JsonNode> model :
                    MAPPER.readTree(value).path(REQUESTED_AT).properties()) {
                Map<Long, Long> times = new HashMap<>();
                model.getValue()
                        .properties()
                        .forEach(entry -> times.put(
                                Long.valueOf(entry.getKey()), entry.getValue().asLong()));
                models.put(model.getKey(), times);
            }
            return new WeightsRequestTimes(models);
        } catch (IOException | NumberFormatException e) {
            throw new AgatelaneException(FailureType.INVALID_OBJECT, "the times of requested weights are malformed", e);
        }
    }
}
