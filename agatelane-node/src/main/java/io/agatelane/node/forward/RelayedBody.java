package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.RequestKind;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.query.EventFramer;
import io.agatelane.core.fleet.query.EventScanner;
import io.agatelane.core.limits.ByteBudget;
import io.agatelane.node.api.TimerService;
import java.util.Locale;
import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;

/**
 * The body of a response on its way to the caller, over all attempts that contribute to it.
 *
 * <p>Of a stream that another upstream may continue only whole events are passed on. Not thread-safe.
 */
final class RelayedBody {
    private static final byte[] NO_BYTES = new byte[0];

    private final long maxBytes;
    private final ByteBudget.Reservation held;
    private final TimerService timers;
    private final boolean isStream;
    private final Optional<EventFramer> framer;
    private final EventScanner scanner = new EventScanner();
    private Optional<ResponseFraming> framing = Optional.empty();
    private boolean isSuccess;
    private long totalBytes;

    RelayedBody(Route route, ForwardContext context) {
        maxBytes = context.settings().maxResponseBodyBytes();
        held = context.responseBytes().open();
        timers = context.timers();
        isStream = route.kind() == RequestKind.STREAM;
        framer = route.resumable() ? Optional.of(new EventFramer()) : Optional.empty();
    }

    /** Begins the body of an attempt's response. */
    void begin(int status, ResponseFraming framingOfResponse) {
        isSuccess = HttpStatus.isSuccess(status);
        framing = Optional.of(framingOfResponse);
    }

    /**
     * Adds bytes of the upstream and returns those that may be passed on.
     *
     * @throws AgatelaneException with {@code UPSTREAM_FAILED} when the body or an event of it is too large, or when all
     *     responses together hold too many bytes
     */
    byte[] append(byte[] bytes) {
        totalBytes += bytes.length;
        if (totalBytes > maxBytes) {
            throw new AgatelaneException(
                    FailureType.UPSTREAM_FAILED, "the response is larger than " + maxBytes + " bytes");
        }
        if (framer.isPresent()) {
            byte[] events = framer.get().append(bytes);
            hold((long) events.length + framer.get().pendingBytes());
            return events;
        }
        if (isStream) {
            scanner.scan(bytes);
        }
        hold(bytes.length);
        return bytes;
    }

    // The bytes of the last part have been taken by now: a part is read only after the write of the one before it.
    private void hold(long bytes) {
        if (!held.tryResize(bytes, timers.monotonicMillis())) {
            throw new AgatelaneException(
                    FailureType.UPSTREAM_FAILED, "the router has no memory for the bytes that callers have not taken");
        }
    }

    /** Gives up the bytes; to be called when the caller has the whole response or gets no more of it. */
    void release() {
        held.release(timers.monotonicMillis());
    }

    /** Removes and returns the bytes that were held back, for the end of a complete response. */
    byte[] takeRemaining() {
        return framer.map(EventFramer::takeRemaining).orElse(NO_BYTES);
    }

    /** Drops the part of an event whose stream broke, so that another upstream can continue before it. */
    void dropPartialEvent() {
        framer.ifPresent(EventFramer::dropPartialEvent);
    }

    /** Returns the id of the event after which another upstream can continue the stream. */
    Optional<String> lastEventId() {
        return framer.flatMap(EventFramer::lastEventId);
    }

    /** Returns why a response that has ended regularly, by its framing, was broken off; empty when it is complete. */
    Optional<String> breakReason() {
        if (!isStream || !isSuccess) {
            return Optional.empty();
        }
        if (isInsideEvent()) {
            return Optional.of("the stream ended inside an event");
        }
        // The end of a connection does not show that an upstream had nothing to send.
        boolean isUnframed = framing.filter(
                        value -> value != ResponseFraming.LENGTH && value != ResponseFraming.CHUNKED)
                .isPresent();
        return isUnframed && !hasEvent() ? Optional.of("the stream ended before its first event") : Optional.empty();
    }

    /** How the current attempt's response states its end, for the log. */
    String framing() {
        return framing.map(value -> value.name().toLowerCase(Locale.ROOT)).orElse("none");
    }

    /** Number of bytes that upstreams have sent. */
    long totalBytes() {
        return totalBytes;
    }

    /** Whether the bytes up to now end in the middle of an event. */
    boolean isInsideEvent() {
        return isStream && framer.map(EventFramer::isInsideEvent).orElseGet(scanner::isInsideEvent);
    }

    /** Whether an attempt has delivered a whole event. */
    boolean hasEventOfAnyAttempt() {
        return hasEvent() || lastEventId().isPresent();
    }

    /** Number of whole events of the current attempt. */
    int events() {
        return framer.map(EventFramer::events).orElseGet(scanner::events);
    }

    private boolean hasEvent() {
        return framer.map(EventFramer::hasEvent).orElseGet(scanner::hasEvent);
    }
}
