package io.agatelane.cli;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers open during the shutdown. The JDK's own log manager closes them in a shutdown hook that runs
 * beside the hook that drains the router, so that the log lines about requests that end during the shutdown were lost.
 */
public final class DrainingLogManager extends LogManager {
    private volatile boolean keepsHandlers;

    /** Ignores resets from now on. */
    void keepHandlers() {
        keepsHandlers = true;
    }

    @Override
    public void reset() {
        if (!keepsHandlers) {
            super.reset();
        }
    }
}
