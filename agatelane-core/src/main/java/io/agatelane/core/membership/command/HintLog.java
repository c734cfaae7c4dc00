package io.agatelane.core.membership.command;

import io.agatelane.core.membership.Hint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Locally published hints in the order of publication, with the position up to which each member has been sent them. A
 * newer hint replaces an older one of the same key, so a member that lags behind is sent only the newest state.
 */
final class HintLog {
    /** Bounds the memory; above it the oldest hints are dropped. */
    private static final int MAX_HINTS = 8_192;

    private final TreeMap<Long, LoggedHint> hintsByPosition = new TreeMap<>();
    private final Map<String, Long> positionByKey = new HashMap<>();
    private final Map<String, Long> sentPositionByMember = new HashMap<>();
    private long lastPosition;

    void add(Hint hint, long nowMillis) {
        Long oldPosition = positionByKey.put(hint.key(), ++lastPosition);
        if (oldPosition != null) {
            hintsByPosition.remove(oldPosition);
        }
        hintsByPosition.put(lastPosition, new LoggedHint(hint, nowMillis + hint.lifetimeMillis()));
    }

    /** Drops expired hints, and the oldest ones above the size limit. Returns the number of dropped hints. */
    int expire(long nowMillis) {
        int expired = 0;
        Iterator<LoggedHint> hints = hintsByPosition.values().iterator();
        while (hints.hasNext()) {
            LoggedHint first = hints.next();
            if (first.expiresMillis > nowMillis && hintsByPosition.size() <= MAX_HINTS) {
                break;
            }
            hints.remove();
            positionByKey.remove(first.hint.key());
            expired++;
        }
        return expired;
    }

    /** Whether hints are left that the member has not been sent. */
    boolean isPending(String member) {
        return !hintsByPosition.isEmpty() && hintsByPosition.lastKey() > sentPositionByMember.getOrDefault(member, 0L);
    }

    /** Returns the oldest hints that the member has not been sent, up to a total size. */
    List<Hint> pending(String member, int maxBytes) {
        List<Hint> hints = new ArrayList<>();
        int free = maxBytes;
        for (LoggedHint logged : hintsByPosition
                .tailMap(sentPositionByMember.getOrDefault(member, 0L), false)
                .values()) {
            free -= logged.hint.sizeBytes();
            if (free < 0) {
                break;
            }
            hints.add(logged.hint);
        }
        return hints;
    }

    /** Records that the member has been sent all hints up to the given one. */
    void markSent(String member, Hint last) {
        sentPositionByMember.put(member, positionByKey.get(last.key()));
    }

    void forget(String member) {
        sentPositionByMember.remove(member);
    }

    private record LoggedHint(Hint hint, long expiresMillis) {}
}
