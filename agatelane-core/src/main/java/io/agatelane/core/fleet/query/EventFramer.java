package io.agatelane.core.fleet.query;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at the ends of events, so that a stream can go on elsewhere after a whole one.
 *
 * <p>Not thread-safe.
 */
public final class EventFramer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
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
        if (end == 0) {
            pending.write(bytes, 0, bytes.length);
            return new byte[0];
        }
        pending.write(bytes, 0, end);
        byte[] events = pending.toByteArray();
        pending.reset();
        pending.write(bytes, end, bytes.length - end);
        findLastId(events);
        return events;
    }

    /** Takes what is left after the end of a complete stream. */
    public byte[] rest() {
        byte[] bytes = pending.toByteArray();
        pending.reset();
        return bytes;
    }

    /** Forgets an event that was cut off. */
    public void dropPartialEvent() {
        pending.reset();
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
