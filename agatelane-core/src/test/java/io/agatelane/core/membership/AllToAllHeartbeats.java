package io.agatelane.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;

/** Naive reference: each member sends heartbeats to all others every 500 ms; one without any for 3 s is dead. */
final class AllToAllHeartbeats {
    private static final long PERIOD_MILLIS = 500;
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final int HEARTBEAT_BYTES = 28 + 20;

    private final List<String> names;
    private final Map<String, Map<String, Long>> lastHeartbeatMillis = new HashMap<>();
    private long nowMillis;
    private long bytes;

    AllToAllHeartbeats(List<String> names) {
        this.names = new ArrayList<>(names);
    }

    void run(long millis, Set<String> running, BiPredicate<String, String> blocked) {
        for (long endMillis = nowMillis + millis; nowMillis < endMillis; nowMillis += PERIOD_MILLIS) {
            for (String from : running) {
                for (String to : names) {
                    if (!to.equals(from)) {
                        bytes += HEARTBEAT_BYTES;
                    }
                    if (running.contains(to) && !blocked.test(from, to)) {
                        lastHeartbeatMillis
                                .computeIfAbsent(to, unused -> new HashMap<>())
                                .put(from, nowMillis);
                    }
                }
            }
        }
    }

    List<String> live(String observer) {
        Set<String> live = new TreeSet<>();
        lastHeartbeatMillis.getOrDefault(observer, Map.of()).forEach((name, millis) -> {
            if (nowMillis - millis <= TIMEOUT_MILLIS) {
                live.add(name);
            }
        });
        live.add(observer);
        return new ArrayList<>(live);
    }

    long bytes() {
        return bytes;
    }
}
