package io.agatelane.node.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What a relay has heard and passes on with its next round. Not thread-safe. */
final class RelayOutbox {
    // A router that has sent nothing for this long has another relay, or is gone.
    private static final long MEMBER_MILLIS = 1_000;

    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Hints> memberHints = new HashMap<>();
    private final Map<String, Hints> relayHints = new HashMap<>();
    private Told fromMembers = Told.NOTHING;
    private Told fromRelays = Told.NOTHING;

    /** A router that this one is the relay of. */
    record Member(InetSocketAddress address, long incarnation, long sequence, long heardMillis) {}

    private record Hints(RolloutHints hints, long heardMillis) {}

    void heardMember(String vm, Member member, Told told, RolloutHints hints) {
        members.merge(vm, member, RelayOutbox::newer);
        fromMembers = fromMembers.plus(told);
        memberHints.put(vm, new Hints(hints, member.heardMillis()));
    }

    void heardRelay(String vm, Told told, RolloutHints hints, long nowMillis) {
        fromRelays = fromRelays.plus(told);
        relayHints.put(vm, new Hints(hints, nowMillis));
    }

    /** The routers that this one is the relay of. */
    List<Member> members(long nowMillis) {
        members.values().removeIf(member -> nowMillis - member.heardMillis() > MEMBER_MILLIS);
        return List.copyOf(members.values());
    }

    /** Takes what members have told since the last call. */
    Told takeFromMembers() {
        Told taken = fromMembers;
        fromMembers = Told.NOTHING;
        return taken;
    }

    /** Takes what other relays have told since the last call. */
    Told takeFromRelays() {
        Told taken = fromRelays;
        fromRelays = Told.NOTHING;
        return taken;
    }

    /** The hints of this router and its members; what relays have told goes to members only, so that it cannot circle. */
    RolloutHints hintsForRelays(RolloutHints own, long nowMillis) {
        return merged(own, memberHints, nowMillis);
    }

    /** The hints of all that were heard lately. */
    RolloutHints hintsForMembers(RolloutHints own, long nowMillis) {
        return merged(hintsForRelays(own, nowMillis), relayHints, nowMillis);
    }

    private static RolloutHints merged(RolloutHints first, Map<String, Hints> heard, long nowMillis) {
        heard.values().removeIf(entry -> nowMillis - entry.heardMillis() > MEMBER_MILLIS);
        Set<Long> reserved = new HashSet<>(first.reserved());
        Map<Long, Long> loaded = new HashMap<>(first.loaded());
        heard.values().forEach(entry -> {
            reserved.addAll(entry.hints().reserved());
            entry.hints().loaded().forEach((upstream, version) -> loaded.merge(upstream, version, Math::max));
        });
        return new RolloutHints(reserved, loaded);
    }

    private static Member newer(Member known, Member heard) {
        boolean sameStart = heard.incarnation() == known.incarnation();
        boolean isNewer = sameStart ? heard.sequence() > known.sequence() : heard.incarnation() > known.incarnation();
        return isNewer ? heard : known;
    }
}
