package io.agatelane.lab.load;

import java.util.List;

/**
 * One kind of request in a workload.
 *
 * @param kind {@code chat} or {@code booking}
 * @param share part of the arrivals relative to the other classes
 * @param levels nested shared prefixes, the most widely shared first
 * @param questionTokens length of the last message, which differs in each request
 */
public record WorkloadClass(
        String name,
        String kind,
        String model,
        double share,
        List<PromptLevel> levels,
        int questionTokens,
        int maxTokens) {
    public WorkloadClass {
        kind = kind == null ? "chat" : kind;
        levels = levels == null ? List.of() : List.copyOf(levels);
    }

    public boolean isBooking() {
        return kind.equals("booking");
    }
}
