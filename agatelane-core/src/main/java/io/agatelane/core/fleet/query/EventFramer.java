package io.agatelane.core.fleet.query;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at the ends of events, so that a stream can go on elsewhere after a whole one.
 *
 * <p>Not thread-safe.
 */
public final class EventFramer {
    private static final String ID_FIELD = "id:";

    private static final byte[] NOTHING = new byte[0];

    private byte[] pending = NOTHING;
    private String lastEventId;
    private boolean lineEmpty = true;

    /** Takes bytes of the stream and returns the whole events that they complete. */
    public byte[] append(byte[] bytes) {
        int end = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                if (lineEmpty) {
                    end = i + 1;
                }
                lineEmpty = true;
            } else if (bytes[i] != '\r') {
                lineEmpty = false;
            }
        }
        byte[] all = joined(pending, bytes);
        if (end == 0) {
            pending = all;
            return NOTHING;
        }
        int eventsLength = pending.length + end;
        byte[] events = Arrays.copyOf(all, eventsLength);
        pending = Arrays.copyOfRange(all, eventsLength, all.length);
        findLastId(events);
        return events;
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    /** Takes what is left after the end of a complete stream. */
    public byte[] rest() {
        byte[] bytes = pending;
        pending = NOTHING;
        return bytes;
    }

    /** Forgets an event that was cut off. */
    public void dropPartialEvent() {
        pending = NOTHING;
        lineEmpty = true;
    }

    /** Id of the last whole event. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    private void findLastId(byte[] events) {
        for (String line : new String(events, StandardCharsets.UTF_8).split("\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                lastEventId = line.substring(ID_FIELD.length()).trim();
            }
        }
    }
}
