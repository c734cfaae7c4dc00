package io.agatelane.core.membership;

import java.util.Optional;

/** Transport and callbacks of the protocol; called on the thread that drives the protocol. */
public interface SwimListener {
    /** Sends a packet, without guarantee of delivery. */
    void send(String address, SwimMessage message);

    /** Called when a member was added ({@code before} is empty) or its record replaced. */
    void memberChanged(Optional<MemberRecord> before, MemberRecord after);

    /** Called when a higher revision of the configuration than last known is in force at a member. */
    void configRevisionReceived(String name, long revision);

    /** Called for each received hint; for one with scope {@code ALL} only when it is new here. */
    void hintReceived(Hint hint);

    /** Called when a dead member was removed from the table. */
    void memberForgotten(MemberRecord last);
}
