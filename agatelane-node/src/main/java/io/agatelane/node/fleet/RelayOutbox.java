package io.agatelane.node.fleet;

import io.agatelane.core.fleet.PlacementIndex.Placement;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What a relay has heard and passes on with its next round. Not thread-safe. */
final class RelayOutbox {
    // A router that has sent nothing for this long has another relay, or is gone.
    private static final long MEMBER_MILLIS = 1_000;
    // Placements wait for one round only; more than this is a flood of which the rest is dropped.
    private static final int MAX_PLACEMENTS = 2_000;

    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Hints> memberHints = new HashMap<>();
    private final Map<String, Hints> relayHints = new HashMap<>();
    private final List<Placement> fromMembers = new ArrayList<>();
    private final List<Placement> fromRelays = new ArrayList<>();

    /** A router that this one is the relay of. */
    record Member(InetSocketAddress address, long incarnation, long sequence, long heardMillis) {}

    private record Hints(RolloutHints hints, long heardMillis) {}

    void heardMember(String vm, Member member, List<Placement> placements, RolloutHints hints) {
        members.merge(vm, member, RelayOutbox::newer);
        add(fromMembers, placements);
        memberHints.put(vm, new Hints(hints, member.heardMillis()));
    }

    void heardRelay(String vm, List<Placement> placements, RolloutHints hints, long nowMillis) {
        add(fromRelays, placements);
        relayHints.put(vm, new Hints(hints, nowMillis));
    }

    /** The routers that this one is the relay of. */
    List<Member> members(long nowMillis) {
        members.values().removeIf(member -> nowMillis - member.heardMillis() > MEMBER_MILLIS);
        return List.copyOf(members.values());
    }

    /** Takes the placements that members have told since the last call. */
    List<Placement> takeFromMembers() {
        return take(fromMembers);
    }

    /** Takes the placements that other relays have told since the last call. */
    List<Placement> takeFromRelays() {
        return take(fromRelays);
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

    private static void add(List<Placement> list, List<Placement> placements) {
        int free = Math.max(0, MAX_PLACEMENTS - list.size());
        list.addAll(placements.subList(0, Math.min(free, placements.size())));
    }

    private static List<Placement> take(List<Placement> list) {
        List<Placement> taken = List.copyOf(list);
        list.clear();
        return taken;
    }
}
