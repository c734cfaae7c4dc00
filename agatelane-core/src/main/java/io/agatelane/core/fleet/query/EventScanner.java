package io.agatelane.core.fleet.query;

/**
 * Finds the ends of events in a stream of server-sent events, without storing any of it.
 *
 * <p>Not thread-safe.
 */
public final class EventScanner {
    private boolean isLineEmpty = true;
    private boolean isComment;
    private boolean isEventOpen;
    private int events;

    /** Scans the next bytes and returns the offset after the last event that ends in them, or 0 when none does. */
    public int scan(byte[] bytes) {
        int end = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                if (isLineEmpty) {
                    end = i + 1;
                    events += isEventOpen ? 1 : 0;
                    isEventOpen = false;
                } else {
                    isEventOpen |= !isComment;
                }
                isLineEmpty = true;
            } else if (bytes[i] != '\r') {
                isComment = isLineEmpty ? bytes[i] == ':' : isComment;
                isLineEmpty = false;
            }
        }
        return end;
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
    }
}
