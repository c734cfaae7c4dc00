package io.agatelane.cli;

import sun.misc.Signal;

/** Handles SIGHUP, which ends a JVM by default, also while the process starts. */
final class HangupSignal {
    private static final String NAME = "HUP";

    private Runnable action;
    private boolean isPending;

    private HangupSignal() {}

    /** Takes the signal from now on. */
    static HangupSignal install() {
        HangupSignal hangup = new HangupSignal();
        Signal.handle(new Signal(NAME), signal -> hangup.receive());
        return hangup;
    }

    private void receive() {
        Runnable current;
        synchronized (this) {
            isPending = action == null;
            current = action;
        }
        if (current != null) {
            current.run();
        }
    }

    /** Calls the action on a thread of its own at each signal, and at once if a signal has come before. */
    void onSignal(Runnable newAction) {
        boolean runNow;
        synchronized (this) {
            action = newAction;
            runNow = isPending;
            isPending = false;
        }
        if (runNow) {
            newAction.run();
        }
    }
}
