package io.agatelane.cli;

import sun.misc.Signal;

/** Handles SIGHUP, which ends a JVM by default. */
final class HangupSignal {
    private static final String NAME = "HUP";

    private HangupSignal() {}

    /** Calls the action on a thread of its own at each signal. */
    static void onSignal(Runnable action) {
        Signal.handle(new Signal(NAME), signal -> action.run());
    }
}
