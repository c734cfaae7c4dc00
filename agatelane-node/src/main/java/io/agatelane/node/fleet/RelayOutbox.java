package io.agatelane.node.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects what a relay has received and forwards with its next digest. Not thread-safe. */
final class RelayOutbox {
    // A router that has sent nothing for this long uses another relay, or has failed.
    private static final long MEMBER_TIMEOUT_MILLIS = 1_000;

    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Hints> memberHints = new HashMap<>();
    private final Map<String, Hints> relayHints = new HashMap<>();
    private DigestEvents memberEvents = DigestEvents.NONE;
    private DigestEvents relayEvents = DigestEvents.NONE;

    /** A router that uses this one as its relay. */
    record Member(InetSocketAddress address, long incarnation, long sequence, long receivedMillis) {}

    private record Hints(RolloutHints hints, long receivedMillis) {}

    void receivedFromMember(String vm, Member member, DigestEvents events, RolloutHints hints) {
        members.merge(vm, member, RelayOutbox::newer);
        memberEvents = memberEvents.plus(events);
        memberHints.put(vm, new Hints(hints, member.receivedMillis()));
    }

    void receivedFromRelay(String vm, DigestEvents events, RolloutHints hints, long nowMillis) {
        relayEvents = relayEvents.plus(events);
        relayHints.put(vm, new Hints(hints, nowMillis));
    }

    /** The routers that currently use this one as their relay. */
    List<Member> members(long nowMillis) {
        members.values().removeIf(member -> nowMillis - member.receivedMillis() > MEMBER_TIMEOUT_MILLIS);
        return List.copyOf(members.values());
    }

    /** Removes and returns the events received from members since the last call. */
    DigestEvents takeFromMembers() {
        DigestEvents taken = memberEvents;
        memberEvents = DigestEvents.NONE;
        return taken;
    }

    /** Removes and returns the events received from other relays since the last call. */
    DigestEvents takeFromRelays() {
        DigestEvents taken = relayEvents;
        relayEvents = DigestEvents.NONE;
        return taken;
    }

    /** The hints of this router and its members. Those of relays go only to members, so that they cannot circulate. */
    RolloutHints hintsForRelays(RolloutHints own, long nowMillis) {
        return merged(own, memberHints, nowMillis);
    }

    /** The hints of this router and those recently received from members and relays. */
    RolloutHints hintsForMembers(RolloutHints own, long nowMillis) {
        return merged(hintsForRelays(own, nowMillis), relayHints, nowMillis);
    }

    private static RolloutHints merged(RolloutHints first, Map<String, Hints> received, long nowMillis) {
        received.values().removeIf(entry -> nowMillis - entry.receivedMillis() > MEMBER_TIMEOUT_MILLIS);
        Set<Long> reserved = new HashSet<>(first.reserved());
        Map<ModelOnUpstream, Long> loaded = new HashMap<>(first.loaded());
        received.values().forEach(entry -> {
            reserved.addAll(entry.hints().reserved());
            entry.hints().loaded().forEach((model, version) -> loaded.merge(model, version, Math::max));
        });
        return new RolloutHints(reserved, loaded);
    }

    private static Member newer(Member known, Member received) {
        boolean sameStart = received.incarnation() == known.incarnation();
        boolean isNewer =
                sameStart ? received.sequence() > known.sequence() : received.incarnation() > known.incarnation();
        return isNewer ? received : known;
    }
}
