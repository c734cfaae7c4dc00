package io.agatelane.core.poison.command;

import io.agatelane.core.poison.SuspectTable;
import io.agatelane.core.poison.SuspectTable.Suspect;

/** Counts engine crashes for the fingerprints of the requests that ran on the engines. Thread-safe. */
public final class CrashRecorder {
    private final SuspectTable table;

    public CrashRecorder(SuspectTable table) {
        this.table = table;
    }

    /** Records that a request was running when its engine crashed, and returns the updated entry. */
    public Suspect recordCrash(String fingerprint, long nowMillis) {
        synchronized (table) {
            Suspect known = current(fingerprint, nowMillis);
            Suspect next = new Suspect(
                    known.localCrashes() + 1,
                    known.remoteCrashes(),
                    nowMillis,
                    nowMillis + SuspectTable.QUARANTINE_MILLIS);
            table.suspects().put(fingerprint, next);
            return next;
        }
    }

    /**
     * Merges the number of crashes that another router reported. Repeated reports are counted once.
     *
     * @return true when only the sum with the local crashes reaches the quarantine limit, so that this router must
     *     announce the quarantine to the others
     */
    public boolean mergeRemoteCrashes(String fingerprint, int crashes, long remainingMillis, long nowMillis) {
        if (remainingMillis <= 0 || crashes <= 0) {
            return false;
        }
        synchronized (table) {
            Suspect known = current(fingerprint, nowMillis);
            long expiresMillis = Math.max(
                    known.expiresMillis(), nowMillis + Math.min(remainingMillis, SuspectTable.QUARANTINE_MILLIS));
            long lastCrashMillis = crashes > known.remoteCrashes() ? nowMillis : known.lastCrashMillis();
            Suspect next = new Suspect(
                    known.localCrashes(), Math.max(known.remoteCrashes(), crashes), lastCrashMillis, expiresMillis);
            table.suspects().put(fingerprint, next);
            return crashes < SuspectTable.QUARANTINE_CRASHES
                    && known.crashes() < SuspectTable.QUARANTINE_CRASHES
                    && next.crashes() >= SuspectTable.QUARANTINE_CRASHES;
        }
    }

    /** Records that a quarantined request came again and was refused. */
    public void recordRefused(String fingerprint, long nowMillis) {
        synchronized (table) {
            table.suspects().computeIfPresent(fingerprint, (key, known) -> known.refused(nowMillis));
        }
    }

    private Suspect current(String fingerprint, long nowMillis) {
        Suspect known = table.suspects().get(fingerprint);
        return known == null || known.expiresMillis() <= nowMillis ? new Suspect(0, 0, nowMillis, nowMillis) : known;
    }
}
