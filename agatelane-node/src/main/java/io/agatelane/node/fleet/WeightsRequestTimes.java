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
 * @param absentAtEpochMillis model to the wall-clock times at which a version was last known not to be requested yet, by
 *     version
 */
public record WeightsRequestTimes(Map<String, Map<Long, Long>> absentAtEpochMillis) {
    /** Key of the entry in the store. */
    public static final String KEY = "agatelane/requested-weights";

    /** No times are recorded. */
    public static final WeightsRequestTimes NONE = new WeightsRequestTimes(Map.of());

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String ABSENT_AT = "absentAtMillis";

    public WeightsRequestTimes {
        absentAtEpochMillis = absentAtEpochMillis.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> Map.copyOf(entry.getValue())));
    }

    /** Returns the times that are known of requested weights, by model. */
    static WeightsRequestTimes from(Map<String, RequestedWeights> requestedWeights) {
        Map<String, Map<Long, Long>> times = new HashMap<>();
        requestedWeights.forEach((model, requested) -> {
            Map<Long, Long> epochMillis = new HashMap<>();
            requested.absenceTimes().forEach((version, absentAt) -> epochMillis.put(version, absentAt.epochMillis()));
            if (!epochMillis.isEmpty()) {
                times.put(model, epochMillis);
            }
        });
        return new WeightsRequestTimes(times);
    }

    /**
     * Returns when the versions of a model were last known not to be requested yet, in the clocks of this router. Times
     * after the current one, which a stepped wall clock causes, are left out.
     */
    Map<Long, ClockReading> of(String model, ClockReading now) {
        return absentAtEpochMillis.getOrDefault(model, Map.of()).entrySet().stream()
                .filter(entry -> entry.getValue() <= now.epochMillis())
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> now.earlierBy(now.epochMillis() - entry.getValue())));
    }

    /** Encodes the times as JSON. */
    byte[] encode() {
        ObjectNode node = MAPPER.createObjectNode();
        ObjectNode models = node.putObject(ABSENT_AT);
        absentAtEpochMillis.forEach((model, times) -> {
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
                    MAPPER.readTree(value).path(ABSENT_AT).properties()) {
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
