package io.agatelane.core.membership.command;

import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.membership.MemberRecord;

/** An entry of the member table: the record of a member and its local timers. */
final class MemberEntry {
    /** Value of a timer that is not running. */
    static final long NO_TIMER = Long.MAX_VALUE;

    final long nameHash;
    MemberRecord record;
    /** Time at which the member is declared dead unless it refutes the suspicion. */
    long declareDeadMillis = NO_TIMER;
    /** Whether a probe from here failed, so that the local member keeps probing the suspect. */
    boolean suspectedLocally;
    /** Time at which a dead member is removed from the table. */
    long forgetMillis = NO_TIMER;
    /** Time at which the member was last notified that it is dead in this table, so that it can refute that. */
    long lastRefutationRequestMillis = Long.MIN_VALUE / 2;

    MemberEntry(MemberRecord record) {
        this.record = record;
        this.nameHash = Rendezvous.hash(record.name());
    }
}
