package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counters of one engine stand-in, which survive its crashes. */
final class EngineCounters {
    private static final int MAX_COUNTED_REQUESTS = 200_000;

    private final Map<String, Long> counts = new TreeMap<>();
    private final Map<String, Integer> attemptsByRequestId = new LinkedHashMap<>();

    synchronized void add(String name, long amount) {
        counts.merge(name, amount, Long::sum);
    }

    synchronized void countAttempt(String requestId) {
        attemptsByRequestId.merge(requestId, 1, Integer::sum);
        if (attemptsByRequestId.size() > MAX_COUNTED_REQUESTS) {
            attemptsByRequestId.remove(attemptsByRequestId.keySet().iterator().next());
        }
    }

    synchronized long get(String name) {
        return counts.getOrDefault(name, 0L);
    }

    synchronized ObjectNode toJson() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        for (String name : new String[] {"requests", "promptTokens", "cachedTokens", "recomputedTokens"}) {
            node.put(name, 0);
        }
        counts.forEach(node::put);
        ObjectNode byId = node.putObject("attempts");
        attemptsByRequestId.forEach(byId::put);
        return node;
    }
}
