package io.agatelane.node.io.engine;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The id of a stream event: the engine that runs the stream, the request there, and the position in the stream.
 *
 * @param requestId the id under which the engine stores the stream
 * @param offset the engine's offset of the token
 */
record EventId(String upstream, String incarnation, String requestId, long offset) {
    private static final Pattern FORMAT =
            Pattern.compile("(.+)~([^~]+)~([0-9a-f]+-[0-9a-f]+\\.[0-9]+c?)~([0-9]{1,18})");

    /**
     * Parses the Last-Event-ID of a caller.
     *
     * @throws AgatelaneException with {@code MALFORMED_REQUEST} when it does not have the format of an event id
     */
    static EventId parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            throw new AgatelaneException(FailureType.MALFORMED_REQUEST, "the Last-Event-ID is not valid")
                    .withLocation("Last-Event-ID");
        }
        return new EventId(matcher.group(1), matcher.group(2), matcher.group(3), Long.parseLong(matcher.group(4)));
    }

    /**
     * Returns the id of one attempt of a request at an engine. The stream of a continuation has only the later part of
     * the text.
     */
    static String engineRequestId(String requestId, int attemptNumber, boolean continuation) {
        return requestId + "." + attemptNumber + (continuation ? "c" : "");
    }

    /** Returns the offset in an engine's event id; -1 when there is none. */
    static long parseOffset(String id) {
        if (id == null || id.isEmpty() || id.length() > 18) {
            return -1;
        }
        for (int i = 0; i < id.length(); i++) {
            if (id.charAt(i) < '0' || id.charAt(i) > '9') {
                return -1;
            }
        }
        return Long.parseLong(id);
    }

    boolean isContinuation() {
        return requestId.endsWith("c");
    }

    @Override
    public String toString() {
        return upstream + "~" + incarnation + "~" + requestId + "~" + offset;
    }
}
