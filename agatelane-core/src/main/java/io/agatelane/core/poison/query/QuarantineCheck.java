package io.agatelane.core.poison.query;

import io.agatelane.core.poison.SuspectTable;
import io.agatelane.core.poison.SuspectTable.Suspect;

/** Checks whether a request fingerprint is a suspect or quarantined. Thread-safe. */
public final class QuarantineCheck {
    private final SuspectTable table;

    public QuarantineCheck(SuspectTable table) {
        this.table = table;
    }

    /** Returns the number of engine crashes recorded for the fingerprint, or 0 when its entry has expired. */
    public int crashes(String fingerprint, long nowMillis) {
        synchronized (table) {
            Suspect suspect = table.suspects().get(fingerprint);
            return suspect == null || suspect.expiresMillis() <= nowMillis ? 0 : suspect.crashes();
        }
    }

    /** Whether a request with this fingerprint was running at a crash. */
    public boolean isSuspect(String fingerprint, long nowMillis) {
        return crashes(fingerprint, nowMillis) > 0;
    }

    /** Whether enough crashes are recorded that requests with this fingerprint must not run. */
    public boolean isQuarantined(String fingerprint, long nowMillis) {
        return crashes(fingerprint, nowMillis) >= SuspectTable.QUARANTINE_CRASHES;
    }
}
