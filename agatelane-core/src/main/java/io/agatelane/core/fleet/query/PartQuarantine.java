package io.agatelane.core.fleet.query;

import io.agatelane.core.poison.AnswerHistory;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
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

    /**
     * Returns the parts that must not be sent to engines. A part that was answered before is shared by many prompts and at
     * most engines at most times, so ends at about the same time count as one.
     *
     * @param answers whether an answer speaks for a part at the time of an end
     */
    public static Set<Long> quarantined(Collection<EngineEnd> ends, BiPredicate<Long, Long> answers) {
        Map<Long, Set<EngineEnd>> endsByPart = new HashMap<>();
        ends.forEach(end -> end.parts().forEach(part -> endsByPart
                .computeIfAbsent(part, unknown -> new HashSet<>())
                .add(end)));
        endsByPart.values().removeIf(endsOfPart -> countSeparate(endsOfPart, SIMULTANEOUS_MILLIS) < MIN_ENDS);
        endsByPart
                .entrySet()
                .removeIf(entry -> wasAnswered(entry.getKey(), entry.getValue(), answers)
                        && countSeparate(entry.getValue(), AnswerHistory.COMMON_CAUSE_MILLIS) < MIN_ENDS);
        return endsByPart.entrySet().stream()
                .filter(entry -> !isExplained(entry.getValue(), endsByPart.values()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static boolean wasAnswered(long part, Set<EngineEnd> ends, BiPredicate<Long, Long> answers) {
        return ends.stream().anyMatch(end -> answers.test(part, end.millis()));
    }

    // Another part of the same prompts that was there at more ends is the likelier cause of the common ones.
    private static boolean isExplained(Set<EngineEnd> own, Collection<Set<EngineEnd>> all) {
        return all.stream().filter(other -> other.size() > own.size()).anyMatch(other -> {
            Set<EngineEnd> unexplained = new HashSet<>(own);
            unexplained.removeAll(other);
            return countSeparate(unexplained, SIMULTANEOUS_MILLIS) < MIN_ENDS;
        });
    }

    private static int countSeparate(Collection<EngineEnd> ends, long togetherMillis) {
        List<Long> times = ends.stream().map(EngineEnd::millis).sorted().toList();
        int count = 0;
        long last = 0;
        for (long millis : times) {
            if (count == 0 || millis - last >= togetherMillis) {
                count++;
                last = millis;
            }
        }
        return count;
    }
}
