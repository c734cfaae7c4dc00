package io.agatelane.core.poison.command;

import io.agatelane.core.poison.AnswerHistory;
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
            if (isOfCommonCause(fingerprint, known, nowMillis)) {
                return known;
            }
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
            if (crashes < SuspectTable.QUARANTINE_CRASHES && isOfCommonCause(fingerprint, known, nowMillis)) {
                return false;
            }
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

    /** Records that a request was answered, which clears it at this router and speaks for it at later crashes. */
    public void recordAnswer(String fingerprint, long nowMillis) {
        synchronized (table) {
            table.answers().record(fingerprint, nowMillis);
            table.suspects().remove(fingerprint);
        }
    }

    // A request that many callers repeat runs on most engines at most times, so it is also there when these fail
    // together.
    private boolean isOfCommonCause(String fingerprint, Suspect known, long nowMillis) {
        return known.crashes() > 0
                && nowMillis - known.lastCrashMillis() <= AnswerHistory.COMMON_CAUSE_MILLIS
                && table.answers().speaksFor(fingerprint, known.lastCrashMillis());
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
