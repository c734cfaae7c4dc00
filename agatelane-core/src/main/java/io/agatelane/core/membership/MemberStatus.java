package io.agatelane.core.membership;

/** State of a member. The order is the precedence between records of the same incarnation, lowest first. */
public enum MemberStatus {
    ALIVE,
    SUSPECT,
    /** Announced by the member itself. Overrides a suspicion, so that a leaving member never looks live again. */
    LEAVING,
    DEAD;

    /** Whether the member accepts new work. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
