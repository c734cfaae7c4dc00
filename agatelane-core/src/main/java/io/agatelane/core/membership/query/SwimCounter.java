package io.agatelane.core.membership.query;

/** Counters of the protocol, exported as metrics: {@code gossip.} followed by the name in lower case. */
public enum SwimCounter {
    PACKETS_SENT,
    PACKETS_RECEIVED,
    BYTES_SENT,
    BYTES_RECEIVED,
    /** Packets not sent because the byte budget was used up. */
    PACKETS_THROTTLED,
    HINTS_EXPIRED_UNSENT,
    INDIRECT_PROBES,
    /** Suspicions that this member started. */
    SUSPICIONS,
    /** Records about this member that it refuted. */
    REFUTATIONS,
    /** Members that this member declared dead. */
    DEATHS_DECLARED,
    RESTARTS_SEEN,
    /** Records about this member with its incarnation but another address: another VM uses the same name. */
    NAME_CONFLICTS,
    /** Pauses of this process that were longer than two probe periods. */
    LOCAL_PAUSES,
    /** Probes that reached this address but were meant for a member of another name. */
    WRONG_TARGETS
}
