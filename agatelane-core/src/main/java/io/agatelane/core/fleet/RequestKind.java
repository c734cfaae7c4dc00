package io.agatelane.core.fleet;

/** Determines whether a request may be repeated when the outcome of an attempt is unknown. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return true;
        }
    },
    /** Runs at most once. */
    AT_MOST_ONCE {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return false;
        }
    },
    /** A stream of events; may run again only where its route allows a stream to be resumed. */
    STREAM {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return resumable;
        }
    };

    /** Whether a request may be sent again when an earlier attempt may already have started to run. */
    public abstract boolean mayRunAgain(boolean resumable);
}
