package io.agatelane.core.fleet.query;

/**
 * Finds the ends of events in a stream of server-sent events, without storing any of it. Lines end with a line feed, a
 * carriage return or both.
 *
 * <p>Not thread-safe.
 */
public final class EventScanner {
    private boolean isLineEmpty = true;
    private boolean isComment;
    private boolean isEventOpen;
    private int events;
    private boolean isAfterReturn;
    private boolean isAfterEvent;

    /** Scans the next bytes and returns the offset after the last event that ends in them, or 0 when none does. */
    public int scan(byte[] bytes) {
        int end = 0;
        for (int i = 0; i < bytes.length; i++) {
            boolean isReturn = bytes[i] == '\r';
            if (isAfterReturn && bytes[i] == '\n') {
                // Second byte of a line end that was already counted.
                end = isAfterEvent ? i + 1 : end;
            } else if (isReturn || bytes[i] == '\n') {
                end = endLine() ? i + 1 : end;
            } else {
                isComment = isLineEmpty ? bytes[i] == ':' : isComment;
                isLineEmpty = false;
                isAfterEvent = false;
            }
            isAfterReturn = isReturn;
        }
        return end;
    }

    // Returns whether the line was empty, which ends an event.
    private boolean endLine() {
        isAfterEvent = isLineEmpty;
        if (isLineEmpty) {
            events += isEventOpen ? 1 : 0;
            isEventOpen = false;
        } else {
            isEventOpen |= !isComment;
        }
        isLineEmpty = true;
        return isAfterEvent;
    }

    /** Whether the scanned bytes end in the middle of an event or of a line. */
    public boolean isInsideEvent() {
        return isEventOpen || !isLineEmpty;
    }

    /** Whether the scanned bytes contain a whole event. */
    public boolean hasEvent() {
        return events > 0;
    }

    /** Number of whole events that were scanned. */
    public int events() {
        return events;
    }

    /** Continues at the begin of an event, as at the start of another stream. */
    public void restart() {
        isLineEmpty = true;
        isEventOpen = false;
        events = 0;
        isAfterReturn = false;
        isAfterEvent = false;
    }
}
