package io.agatelane.core.fleet.query;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which shared parts of prompts end the engines that begin to answer them, from the ends of engines and the
 * parts of the prompts that these had not begun to answer.
 *
 * <p>Answers a load in which a few prompts of many share the part, while engines also end for other reasons. Stateless.
 */
public final class PartQuarantine {
    /** Ends of engines after which a part is not sent any more: two may be coincidence. */
    public static final int MIN_ENDS = 3;

    // Engines that end together, as with their rack, end for a reason of their own.
    private static final long SIMULTANEOUS_MILLIS = 100;

    private PartQuarantine() {}

    /**
     * End of an engine.
     *
     * @param millis when it ended, as monotonic time
     * @param parts fingerprints of the shared parts of the prompts that it had not begun to answer
     */
    public record EngineEnd(long millis, Set<Long> parts) {
        public EngineEnd {
            parts = Set.copyOf(parts);
        }
    }

    /** Returns the parts that must not be sent to engines. */
    public static Set<Long> quarantined(Collection<EngineEnd> ends) {
        Map<Long, Set<EngineEnd>> endsByPart = new HashMap<>();
        ends.forEach(end -> end.parts().forEach(part -> endsByPart
                .computeIfAbsent(part, unknown -> new HashSet<>())
                .add(end)));
        endsByPart.values().removeIf(endsOfPart -> countSeparate(endsOfPart) < MIN_ENDS);
        return endsByPart.entrySet().stream()
                .filter(entry -> !isExplained(entry.getValue(), endsByPart.values()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    // Another part of the same prompts that was there at more ends is the likelier cause of the common ones.
    private static boolean isExplained(Set<EngineEnd> own, Collection<Set<EngineEnd>> all) {
        return all.stream().filter(other -> other.size() > own.size()).anyMatch(other -> {
            Set<EngineEnd> unexplained = new HashSet<>(own);
            unexplained.removeAll(other);
            return countSeparate(unexplained) < MIN_ENDS;
        });
    }

    private static int countSeparate(Collection<EngineEnd> ends) {
        List<Long> times = ends.stream().map(EngineEnd::millis).sorted().toList();
        int count = 0;
        long last = 0;
        for (long millis : times) {
            if (count == 0 || millis - last >= SIMULTANEOUS_MILLIS) {
                count++;
                last = millis;
            }
        }
        return count;
    }
}
