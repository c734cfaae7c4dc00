package io.agatelane.core.booking;

import java.util.Optional;

/** How an attempt ended, with the response if the call ran. */
public record Outcome(Kind kind, Optional<ServiceResponse> response) {
    /**
     * Ways in which an attempt ends, ordered from the least to the most certain; a later one replaces an earlier one.
     */
    public enum Kind {
        /** The call was sent and no response was received. */
        UNKNOWN,
        /** The claimant did not send the call and never will, so another attempt may run it. */
        RELEASED,
        /** The call ran and its response is known. */
        FINISHED
    }

    public static Outcome unknown() {
        return new Outcome(Kind.UNKNOWN, Optional.empty());
    }

    public static Outcome released() {
        return new Outcome(Kind.RELEASED, Optional.empty());
    }

    public static Outcome finished(ServiceResponse response) {
        return new Outcome(Kind.FINISHED, Optional.of(response));
    }
}
