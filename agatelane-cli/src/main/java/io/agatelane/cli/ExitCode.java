package io.agatelane.cli;

/** Exit codes of the program. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command was valid but failed. */
    FAILED(1),
    /** The arguments, the settings or an input file are wrong; nothing was started or sent. */
    BAD_USAGE(2),
    /** The change conflicts with another change of the same object. */
    CONFLICT(3),
    /** The router could not be reached or did not respond in time. */
    NOT_REACHABLE(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    public int code() {
        return code;
    }
}
