package io.agatelane.core.failure;

/** Whether a refused or failed call may have run, which tells the caller if a retry is safe. */
public enum Executed {
    /** The call certainly did not run. */
    NO("no"),
    /** The call may have run. */
    UNKNOWN("unknown");

    private final String wireName;

    Executed(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the value of the {@code executed} member of a problem document. */
    public String wireName() {
        return wireName;
    }
}
