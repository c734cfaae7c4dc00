package io.agatelane.node.api;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The routers that this router knows, itself included. */
public interface MembershipView {
    /** This router. */
    Member self();

    /** Returns all members in name order, dead ones included until they are removed. May be called on any thread. */
    List<Member> members();

    /** Finds a member by name. */
    Optional<Member> member(String name);

    /** Calls the listener on the control thread after each change. */
    Subscription onChange(Consumer<List<Member>> listener);

    /** Returns the live members in name order, this router included. */
    default List<Member> liveMembers() {
        return members().stream().filter(member -> member.state().isLive()).toList();
    }
}
