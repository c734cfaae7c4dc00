package io.agatelane.core.membership.command;

import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.membership.MemberRecord;
import io.agatelane.core.membership.MemberStatus;
import io.agatelane.core.membership.SwimListener;
import io.agatelane.core.membership.SwimSettings;
import io.agatelane.core.membership.query.MembershipSnapshot;
import io.agatelane.core.membership.query.SwimCounter;
import io.agatelane.core.membership.query.SwimCounters;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The member table: precedence between records, suspicion, refutation, and removal of dead members. */
final class MemberTable {
    /** Result of merging a received record. */
    enum MergeResult {
        IGNORED,
        APPLIED,
        /** The record shows as not dead a member that is dead here at the same incarnation. */
        DEATH_DISPUTED
    }

    /**
     * Smallest increase of the incarnation that indicates a restart. A refutation raises the incarnation by 1, and a
     * start sets it to the time in milliseconds; a process needs more than a second to start.
     */
    private static final long RESTART_INCARNATION_STEP = 1_000;

    private final SwimSettings settings;
    private final SwimListener listener;
    private final SwimCounters counters;
    private final DisseminationQueue disseminationQueue;
    private final Consumer<MemberRecord> onForgotten;
    private final TreeMap<String, MemberEntry> others = new TreeMap<>();
    private final TreeMap<String, MemberEntry> entriesWithTimers = new TreeMap<>();
    private final List<MemberEntry> reachable = new ArrayList<>();
    private MemberRecord self;
    private long version;

    MemberTable(
            SwimSettings settings,
            MemberRecord self,
            SwimListener listener,
            SwimCounters counters,
            DisseminationQueue disseminationQueue,
            Consumer<MemberRecord> onForgotten) {
        this.onForgotten = onForgotten;
        this.settings = settings;
        this.self = self;
        this.listener = listener;
        this.counters = counters;
        this.disseminationQueue = disseminationQueue;
    }

    MemberRecord self() {
        return self;
    }

    long version() {
        return version;
    }

    /** Replaces the record of the local member. */
    void setSelf(MemberRecord newSelf, boolean disseminate) {
        MemberRecord before = self;
        self = newSelf;
        version++;
        if (disseminate) {
            disseminationQueue.add(newSelf);
        }
        listener.memberChanged(Optional.of(before), newSelf);
    }

    Optional<MemberEntry> find(String name) {
        return Optional.ofNullable(others.get(name));
    }

    /** Returns all other members in name order. */
    Collection<MemberEntry> others() {
        return others.values();
    }

    /** Returns the other members after a name, in name order. */
    Collection<MemberEntry> othersAfter(String name) {
        return others.tailMap(name, false).values();
    }

    /** Returns the other members that are not dead, in no particular order. */
    List<MemberEntry> reachable() {
        return reachable;
    }

    /** Returns the members with a running suspicion timer. */
    Collection<MemberEntry> suspects() {
        return entriesWithTimers.values().stream()
                .filter(entry -> entry.declareDeadMillis != MemberEntry.NO_TIMER)
                .toList();
    }

    /** Samples distinct random members that are not dead. May return fewer than requested. */
    List<MemberEntry> randomReachable(int count, String exceptName, Random random) {
        List<MemberEntry> sampled = new ArrayList<>(count);
        int size = reachable.size();
        if (size <= count) {
            sampled.addAll(reachable);
            sampled.removeIf(entry -> entry.record.name().equals(exceptName));
            return sampled;
        }
        // A few are sampled from many, so repeats are rare; the bound ends the search in any case.
        for (int attempts = 0; sampled.size() < count && attempts < 4 * count + 8; attempts++) {
            MemberEntry entry = reachable.get(random.nextInt(size));
            if (!sampled.contains(entry) && !entry.record.name().equals(exceptName)) {
                sampled.add(entry);
            }
        }
        return sampled;
    }

    /**
     * Merges a record that another member sent.
     *
     * @param disseminate whether the record of a member that was unknown here is disseminated
     */
    MergeResult merge(MemberRecord received, boolean disseminate, long nowMillis) {
        if (received.name().equals(self.name())) {
            return mergeSelf(received);
        }
        MemberEntry entry = others.get(received.name());
        if (entry == null) {
            // A dead member that was removed here must not return from a table that removes it later.
            if (received.status() == MemberStatus.DEAD) {
                return MergeResult.IGNORED;
            }
            insert(received, nowMillis);
            if (disseminate) {
                disseminationQueue.add(received);
            }
            return MergeResult.APPLIED;
        }
        if (received.supersedes(entry.record)) {
            replace(entry, received, false, nowMillis);
            return MergeResult.APPLIED;
        }
        if (received.incarnation() == entry.record.incarnation()) {
            updateConfigRevision(entry, received.configRevision());
            if (entry.record.status() == MemberStatus.DEAD && received.status() != MemberStatus.DEAD) {
                return MergeResult.DEATH_DISPUTED;
            }
        }
        return MergeResult.IGNORED;
    }

    /** Adds a member from the platform's list if unknown; as the list may be outdated, it is not disseminated. */
    void addPlatformMember(MemberRecord platformRecord, long nowMillis) {
        if (platformRecord.name().equals(self.name()) || others.containsKey(platformRecord.name())) {
            return;
        }
        insert(platformRecord.withStatus(MemberStatus.ALIVE), nowMillis);
    }

    /** Updates the revision of the configuration at a member; one that is not higher than the known one is ignored. */
    void updateConfigRevision(MemberEntry entry, long revision) {
        if (revision <= entry.record.configRevision()) {
            return;
        }
        entry.record = entry.record.withConfigRevision(revision);
        version++;
        listener.configRevisionReceived(entry.record.name(), revision);
    }

    /** Starts a suspicion after a failed probe, or shortens a running one that another member started. */
    void suspect(MemberEntry entry, long nowMillis) {
        if (entry.record.status() == MemberStatus.DEAD) {
            return;
        }
        if (entry.declareDeadMillis != MemberEntry.NO_TIMER) {
            entry.suspectedLocally = true;
            entry.declareDeadMillis = Math.min(entry.declareDeadMillis, nowMillis + settings.suspicionMillis());
            return;
        }
        counters.add(SwimCounter.SUSPICIONS, 1);
        if (entry.record.status() == MemberStatus.LEAVING) {
            // The state stays LEAVING: a leaving member that has stopped must not look live during a suspicion.
            entry.suspectedLocally = true;
            startTimer(entry, nowMillis + settings.suspicionMillis());
            return;
        }
        replace(entry, entry.record.withStatus(MemberStatus.SUSPECT), true, nowMillis);
    }

    /** Stops the timer of a leaving member that acknowledged a probe; a suspicion ends only by refutation. */
    void recordAcknowledgement(MemberEntry entry) {
        if (entry.record.status() == MemberStatus.LEAVING) {
            clearTimers(entry);
        }
    }

    /** Declares suspects dead and removes dead members when their timers expire. */
    void tick(long nowMillis) {
        if (entriesWithTimers.isEmpty()) {
            return;
        }
        for (MemberEntry entry : List.copyOf(entriesWithTimers.values())) {
            if (entry.declareDeadMillis <= nowMillis) {
                counters.add(SwimCounter.DEATHS_DECLARED, 1);
                replace(entry, entry.record.withStatus(MemberStatus.DEAD), true, nowMillis);
            } else if (entry.forgetMillis <= nowMillis) {
                remove(entry);
            }
        }
    }

    /** Extends running suspicions by a pause of this process, during which no refutation could be received. */
    void extendSuspicions(long pauseMillis) {
        for (MemberEntry entry : entriesWithTimers.values()) {
            if (entry.declareDeadMillis != MemberEntry.NO_TIMER) {
                entry.declareDeadMillis += pauseMillis;
            }
        }
    }

    /** Hashes the names and incarnations of members that are not dead; members remove dead ones at different times. */
    long hash() {
        long hash = Rendezvous.weight(Rendezvous.hash(self.name()), self.incarnation());
        for (MemberEntry entry : reachable) {
            hash += Rendezvous.weight(entry.nameHash, entry.record.incarnation());
        }
        return hash == 0 ? 1 : hash;
    }

    MembershipSnapshot snapshot() {
        List<MemberRecord> members = new ArrayList<>(others.size() + 1);
        boolean selfAdded = false;
        for (MemberEntry entry : others.values()) {
            if (!selfAdded && entry.record.name().compareTo(self.name()) > 0) {
                members.add(self);
                selfAdded = true;
            }
            members.add(entry.record);
        }
        if (!selfAdded) {
            members.add(self);
        }
        return new MembershipSnapshot(version, self, members);
    }

    private MergeResult mergeSelf(MemberRecord received) {
        boolean newer = received.incarnation() > self.incarnation();
        boolean same = received.incarnation() == self.incarnation();
        boolean otherAddress = same && !received.address().equals(self.address());
        boolean stronger = same && received.status().compareTo(self.status()) > 0;
        if (!newer && !otherAddress && !stronger) {
            return MergeResult.IGNORED;
        }
        if (otherAddress && !stronger) {
            counters.add(SwimCounter.NAME_CONFLICTS, 1);
        }
        // Refutes a suspicion, a death declared during a pause, or the record of this name from before a restart.
        counters.add(SwimCounter.REFUTATIONS, 1);
        long next = Math.min(MemberRecord.MAX_INCARNATION, received.incarnation() + 1);
        setSelf(self.withIncarnation(next), true);
        return MergeResult.APPLIED;
    }

    private void insert(MemberRecord record, long nowMillis) {
        MemberEntry entry = new MemberEntry(record);
        others.put(record.name(), entry);
        reachable.add(entry);
        version++;
        if (record.status() == MemberStatus.SUSPECT) {
            startTimer(entry, nowMillis + 2 * settings.suspicionMillis());
        }
        listener.memberChanged(Optional.empty(), record);
        if (record.configRevision() > 0) {
            listener.configRevisionReceived(record.name(), record.configRevision());
        }
    }

    private void replace(MemberEntry entry, MemberRecord next, boolean locally, long nowMillis) {
        MemberRecord before = entry.record;
        boolean restarted = next.incarnation() - before.incarnation() >= RESTART_INCARNATION_STEP;
        if (restarted) {
            counters.add(SwimCounter.RESTARTS_SEEN, 1);
        }
        // Within one process the revision only grows, in whatever order its records arrive.
        long revision = restarted ? next.configRevision() : Math.max(next.configRevision(), before.configRevision());
        MemberRecord after = next.withConfigRevision(revision);
        entry.record = after;
        clearTimers(entry);
        if (before.status() == MemberStatus.DEAD && after.status() != MemberStatus.DEAD) {
            reachable.add(entry);
        }
        if (after.status() == MemberStatus.SUSPECT) {
            entry.suspectedLocally = locally;
            startTimer(entry, nowMillis + (locally ? 1 : 2) * settings.suspicionMillis());
        } else if (after.status() == MemberStatus.DEAD) {
            if (before.status() != MemberStatus.DEAD) {
                reachable.remove(entry);
            }
            entry.forgetMillis = nowMillis + settings.forgetMillis();
            entriesWithTimers.put(after.name(), entry);
        }
        version++;
        disseminationQueue.add(after);
        listener.memberChanged(Optional.of(before), after);
        if (revision > before.configRevision()) {
            listener.configRevisionReceived(after.name(), revision);
        }
    }

    private void startTimer(MemberEntry entry, long declareDeadMillis) {
        entry.declareDeadMillis = declareDeadMillis;
        entriesWithTimers.put(entry.record.name(), entry);
    }

    private void clearTimers(MemberEntry entry) {
        entry.declareDeadMillis = MemberEntry.NO_TIMER;
        entry.forgetMillis = MemberEntry.NO_TIMER;
        entry.suspectedLocally = false;
        entriesWithTimers.remove(entry.record.name());
    }

    private void remove(MemberEntry entry) {
        entriesWithTimers.remove(entry.record.name());
        others.remove(entry.record.name());
        version++;
        onForgotten.accept(entry.record);
        listener.memberForgotten(entry.record);
    }
}
