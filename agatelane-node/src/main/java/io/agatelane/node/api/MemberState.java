package io.agatelane.node.api;

/** State of a router in the membership. */
public enum MemberState {
    ALIVE,
    SUSPECT,
    DEAD,
    LEAVING;

    /** Returns whether the router may own partitions and serve requests of peers. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
