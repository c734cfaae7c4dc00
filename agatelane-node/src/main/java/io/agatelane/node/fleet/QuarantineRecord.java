package io.agatelane.node.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The refused requests and parts of prompts, as routers keep them in the store. The entry has no lease, so that they outlast
 * a restart of all routers. It holds hashes and times only.
 *
 * @param crashes crashes for which requests are refused; at most {@value #MAX_CRASHES} are kept, the latest ones
 * @param ends ends of engines for which parts are refused; at most {@value #MAX_ENDS} are kept, the latest ones
 */
record QuarantineRecord(List<Crash> crashes, List<End> ends) {
    /** Key of the entry in the store. */
    static final String KEY = "agatelane/quarantine";

    static final QuarantineRecord NONE = new QuarantineRecord(List.of(), List.of());

    static final int MAX_CRASHES = 300;
    static final int MAX_ENDS = 200;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int HEX = 16;
    private static final String CRASHES = "crashes";
    private static final String ENDS = "ends";
    private static final String REQUEST = "request";
    private static final String CRASH = "crash";
    private static final String PART = "part";
    private static final String ENGINE = "engine";
    private static final String AT = "atMillis";
    private static final String ANSWERED = "answeredBefore";

    QuarantineRecord {
        crashes = latest(crashes, Crash::epochMillis, Crash::key, MAX_CRASHES);
        ends = latest(ends, End::epochMillis, End::key, MAX_ENDS);
    }

    /** A crash by a request; see {@link io.agatelane.core.fleet.CrashReport}. */
    record Crash(long request, long crash, long epochMillis, boolean wasAnswered) {
        private Key key() {
            return new Key(request, crash);
        }
    }

    /** An end of an engine under a part of a prompt; see {@link io.agatelane.core.fleet.PartReport}. */
    record End(long part, long engine, long epochMillis) {
        private Key key() {
            return new Key(part, engine);
        }
    }

    private record Key(long suspect, long event) {}

    private static <T> List<T> latest(
            List<T> events, Function<T, Long> epochMillis, Function<T, Key> key, int maxEvents) {
        Set<Key> seen = new LinkedHashSet<>();
        return events.stream()
                .filter(event -> seen.add(key.apply(event)))
                .sorted(Comparator.comparing(epochMillis).reversed())
                .limit(maxEvents)
                .toList();
    }

    /** Returns the events of both records; the times of this one hold for those that are in both. */
    QuarantineRecord union(QuarantineRecord other) {
        return new QuarantineRecord(joined(crashes, other.crashes), joined(ends, other.ends));
    }

    private static <T> List<T> joined(List<T> first, List<T> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }

    /** Whether both records hold the same events, whatever their times. */
    boolean hasSameEvents(QuarantineRecord other) {
        return keys(crashes, Crash::key).equals(keys(other.crashes, Crash::key))
                && keys(ends, End::key).equals(keys(other.ends, End::key));
    }

    private static <T> Set<Key> keys(List<T> events, Function<T, Key> key) {
        return events.stream().map(key).collect(Collectors.toSet());
    }

    /** Encodes the record as JSON. */
    byte[] encode() {
        ObjectNode node = MAPPER.createObjectNode();
        crashes.forEach(crash -> node.withArray(CRASHES)
                .addObject()
                .put(REQUEST, Long.toHexString(crash.request()))
                .put(CRASH, Long.toHexString(crash.crash()))
                .put(AT, crash.epochMillis())
                .put(ANSWERED, crash.wasAnswered()));
        ends.forEach(end -> node.withArray(ENDS)
                .addObject()
                .put(PART, Long.toHexString(end.part()))
                .put(ENGINE, Long.toHexString(end.engine()))
                .put(AT, end.epochMillis()));
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the quarantine cannot be encoded as JSON", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @throws AgatelaneException with {@code INVALID_OBJECT}
     */
    static QuarantineRecord decode(byte[] value) {
        try {
            JsonNode node = MAPPER.readTree(value);
            List<Crash> crashes = new ArrayList<>();
            node.path(CRASHES)
                    .forEach(crash -> crashes.add(new Crash(
                            hash(crash, REQUEST),
                            hash(crash, CRASH),
                            crash.path(AT).asLong(),
                            crash.path(ANSWERED).asBoolean())));
            List<End> ends = new ArrayList<>();
            node.path(ENDS)
                    .forEach(end -> ends.add(new End(
                            hash(end, PART), hash(end, ENGINE), end.path(AT).asLong())));
            return new QuarantineRecord(crashes, ends);
        } catch (IOException | NumberFormatException e) {
            throw new AgatelaneException(FailureType.INVALID_OBJECT, "the quarantine cannot be read: " + e, e)
                    .withLocation(KEY);
        }
    }

    private static long hash(JsonNode node, String field) {
        return Long.parseUnsignedLong(node.path(field).asText(), HEX);
    }
}
