package io.agatelane.core.booking.command;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.BookingKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Inquiries about bookings whose outcome this router does not know. An inquiry queries the claimant, reads the
 * partition again and queries the service, as far as needed. A booking has at most one inquiry at a time.
 */
final class Inquiries {
    /** Progress of an inquiry. */
    enum Stage {
        /** Waits for the claimant's response. */
        CLAIMANT,
        /** Waits for the partition to be read again. */
        RELOAD,
        /** Waits for the service's response. */
        STATUS,
        ENDED
    }

    private final long repeatPauseMillis;
    private final Map<BookingKey, Inquiry> inquiries = new HashMap<>();

    Inquiries(long repeatPauseMillis) {
        this.repeatPauseMillis = repeatPauseMillis;
    }

    /** Begins an inquiry and returns true, unless one about this attempt is running or ended too recently to repeat. */
    boolean begin(BookingKey key, AttemptId attempt, long nowMillis) {
        Inquiry previous = inquiries.get(key);
        if (previous != null && previous.attempt.equals(attempt) && !mayRepeat(previous, nowMillis)) {
            return false;
        }
        inquiries.put(key, new Inquiry(attempt));
        return true;
    }

    boolean isRunning(BookingKey key) {
        Inquiry inquiry = inquiries.get(key);
        return inquiry != null && inquiry.stage != Stage.ENDED;
    }

    /** Returns whether an inquiry about this attempt is at this stage. */
    boolean isAt(BookingKey key, AttemptId attempt, Stage stage) {
        Inquiry inquiry = inquiries.get(key);
        return inquiry != null && inquiry.attempt.equals(attempt) && inquiry.stage == stage;
    }

    /** Returns whether an inquiry about this attempt ended so recently that its result is still valid. */
    boolean endedRecently(BookingKey key, AttemptId attempt, long nowMillis) {
        Inquiry inquiry = inquiries.get(key);
        return inquiry != null
                && inquiry.attempt.equals(attempt)
                && inquiry.stage == Stage.ENDED
                && !mayRepeat(inquiry, nowMillis);
    }

    void moveTo(BookingKey key, Stage stage) {
        inquiries.get(key).stage = stage;
    }

    void end(BookingKey key, long nowMillis) {
        Inquiry inquiry = inquiries.get(key);
        if (inquiry != null) {
            inquiry.stage = Stage.ENDED;
            inquiry.endedMillis = nowMillis;
        }
    }

    /** Returns the bookings whose inquiry waits for the partition to be read again. */
    List<BookingKey> waitingForReload() {
        List<BookingKey> result = new ArrayList<>();
        inquiries.forEach((key, inquiry) -> {
            if (inquiry.stage == Stage.RELOAD) {
                result.add(key);
            }
        });
        return result;
    }

    AttemptId attempt(BookingKey key) {
        return inquiries.get(key).attempt;
    }

    void removeExpired(long nowMillis) {
        inquiries.values().removeIf(inquiry -> mayRepeat(inquiry, nowMillis));
    }

    private boolean mayRepeat(Inquiry inquiry, long nowMillis) {
        return inquiry.stage == Stage.ENDED && nowMillis - inquiry.endedMillis >= repeatPauseMillis;
    }

    private static final class Inquiry {
        private final AttemptId attempt;
        private Stage stage = Stage.CLAIMANT;
        private long endedMillis;

        private Inquiry(AttemptId attempt) {
            this.attempt = attempt;
        }
    }
}
