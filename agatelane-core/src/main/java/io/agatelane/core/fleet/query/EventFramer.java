package io.agatelane.core.fleet.query;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Splits a stream of server-sent events after complete events, so that another upstream can continue the stream after
 * one.
 *
 * <p>Not thread-safe.
 */
public final class EventFramer {
    private static final String ID_FIELD = "id:";
    private static final Pattern LINE_END = Pattern.compile("[\r\n]");

    private static final byte[] NO_BYTES = new byte[0];

    private byte[] pending = NO_BYTES;
    // An event holds some tokens; one without an end would fill the memory of the router.
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final EventScanner scanner = new EventScanner();
    private String lastEventId;

    /**
     * Adds bytes of the stream and returns the complete events up to now; an incomplete event is buffered.
     *
     * @throws AgatelaneException with {@code UPSTREAM_FAILED} when an event does not end within 1 MB
     */
    public byte[] append(byte[] bytes) {
        int end = scanner.scan(bytes);
        byte[] all = joined(pending, bytes);
        if (end == 0) {
            if (all.length > MAX_EVENT_BYTES) {
                throw new AgatelaneException(
                        FailureType.UPSTREAM_FAILED,
                        "an event of the stream is larger than " + MAX_EVENT_BYTES + " bytes");
            }
            pending = all;
            return NO_BYTES;
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

    /** Removes and returns the buffered bytes; to be called at the end of a complete stream. */
    public byte[] takeRemaining() {
        byte[] bytes = pending;
        pending = NO_BYTES;
        return bytes;
    }

    /** Drops the buffered part of an event whose stream broke. */
    public void dropPartialEvent() {
        pending = NO_BYTES;
        scanner.restart();
    }

    /** Number of bytes that are buffered. */
    public int pendingBytes() {
        return pending.length;
    }

    /** Whether the bytes up to now end in the middle of an event. */
    public boolean isInsideEvent() {
        return scanner.isInsideEvent();
    }

    /** Whether the bytes since the start or since a dropped event contain a whole event. */
    public boolean hasEvent() {
        return scanner.hasEvent();
    }

    /** Number of whole events since the start or since a dropped event. */
    public int events() {
        return scanner.events();
    }

    /** Returns the id of the last complete event. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    private void findLastId(byte[] events) {
        for (String line : LINE_END.split(new String(events, StandardCharsets.UTF_8))) {
            if (line.startsWith(ID_FIELD)) {
                lastEventId = line.substring(ID_FIELD.length()).trim();
            }
        }
    }
}
