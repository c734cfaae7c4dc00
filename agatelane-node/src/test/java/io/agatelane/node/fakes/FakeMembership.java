package io.agatelane.node.fakes;

import io.agatelane.node.api.Member;
import io.agatelane.node.api.MemberState;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.Subscription;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/** A membership view whose members a test sets directly. */
public final class FakeMembership implements MembershipView {
    private final String selfName;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final List<Consumer<List<Member>>> listeners = new ArrayList<>();

    public FakeMembership(String selfName, String... others) {
        this.selfName = selfName;
        put(selfName, MemberState.ALIVE, 1);
        for (String other : others) {
            put(other, MemberState.ALIVE, 1);
        }
    }

    /** Adds or replaces a member and notifies the listeners. */
    public synchronized void put(String name, MemberState state, long incarnation) {
        put(new Member(name, incarnation, state, "127.0.0.1:1", "zone-a", 0));
    }

    /** Adds or replaces a member and notifies the listeners. */
    public synchronized void put(Member member) {
        members.put(member.name(), member);
        List.copyOf(listeners).forEach(listener -> listener.accept(members()));
    }

    @Override
    public synchronized Member self() {
        return members.get(selfName);
    }

    @Override
    public synchronized List<Member> members() {
        return List.copyOf(members.values());
    }

    @Override
    public synchronized Optional<Member> member(String name) {
        return Optional.ofNullable(members.get(name));
    }

    @Override
    public synchronized Subscription onChange(Consumer<List<Member>> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }
}
