package io.agatelane.core.membership.command;

import io.agatelane.core.membership.MemberRecord;
import io.agatelane.core.membership.MemberStatus;
import io.agatelane.core.membership.SwimMessage;
import io.agatelane.core.membership.SwimSettings;
import io.agatelane.core.membership.command.ByteBudget.Priority;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Joining and anti-entropy, which also heals network partitions. The response to a JOIN is a page of the receiver's
 * table. Further pages are requested one by one from random members, so that many members that join at once (thundering
 * herd) spread their load.
 */
final class TableSync {
    /** Number of addresses contacted in one round. */
    private static final int ADDRESSES_PER_ROUND = 3;
    /** One page per this time takes about half of the sending budget of the responding member. */
    private static final long PAGE_PERIOD_MILLIS = 200;

    private static final int MAX_ATTEMPTS_PER_PAGE = 6;
    /** A synchronization that still finds changes after this many passes ends; the next healing round continues. */
    private static final int MAX_PASSES = 20;
    /** Members that start together know few others at first, so an unchanged pass is repeated with a growing delay. */
    private static final int MAX_UNCHANGED_PASSES = 4;

    private static final int MAX_OPEN_REQUESTS = 64;

    private final SwimSettings settings;
    private final MemberTable table;
    private final PacketSender packetSender;
    private final Random random;
    private final Set<String> seeds = new LinkedHashSet<>();
    private final Map<String, String> platformAddresses = new HashMap<>();
    private final Map<Long, String> openRequests = new LinkedHashMap<>();
    private boolean joined;
    private boolean initialSync = true;
    private SyncSession session;
    private long sequence;
    private long nextJoinMillis;
    private long nextHealMillis;
    private long lastRecordRequestMillis = Long.MIN_VALUE / 2;

    TableSync(SwimSettings settings, MemberTable table, PacketSender packetSender, Random random) {
        this.settings = settings;
        this.table = table;
        this.packetSender = packetSender;
        this.random = random;
        this.sequence = random.nextInt() & 0xFFFFFFFFL;
    }

    void start(List<String> seedAddresses, long nowMillis) {
        seeds.addAll(seedAddresses);
        nextJoinMillis = nowMillis;
        nextHealMillis = nowMillis + settings.healPeriodMillis() / 2 + random.nextLong(settings.healPeriodMillis());
    }

    /** Replaces the platform's list of members and adds the unknown ones to the table. */
    void updatePlatformMembers(List<MemberRecord> records, long nowMillis) {
        platformAddresses.clear();
        for (MemberRecord platformRecord : records) {
            platformAddresses.put(platformRecord.name(), platformRecord.address());
            table.addPlatformMember(platformRecord, nowMillis);
        }
    }

    void tick(long nowMillis) {
        if (!joined && nowMillis >= nextJoinMillis) {
            nextJoinMillis = nowMillis + settings.probePeriodMillis();
            sendJoins(unreachedAddresses(), nowMillis);
        }
        if (nowMillis >= nextHealMillis) {
            nextHealMillis = nowMillis + settings.healPeriodMillis();
            healPartitions(nowMillis);
        }
        if (session != null && nowMillis >= session.nextMillis) {
            continueSession(nowMillis);
        }
    }

    /** Whether the first synchronization with another member's table is not complete yet. */
    boolean isInitialSync() {
        return initialSync;
    }

    /** Requests the record of a member that is unknown here; at most one request is sent in each gossip period. */
    void requestRecord(String address, long nowMillis) {
        if (nowMillis - lastRecordRequestMillis >= settings.gossipPeriodMillis()) {
            lastRecordRequestMillis = nowMillis;
            sendJoin(address, "", nowMillis);
        }
    }

    /** Responds with a page of the table, or with the local record and corrections alone when the tables are equal. */
    void onJoin(String fromAddress, SwimMessage join, List<MemberRecord> corrections, long nowMillis) {
        long hash = table.hash();
        List<MemberRecord> page = new ArrayList<>();
        page.add(table.self());
        page.addAll(corrections);
        SwimMessage response =
                SwimMessage.of(SwimMessage.Type.SYNC, join.sequence()).withPage("", hash);
        String cursor = "";
        if (join.tableHash() != hash) {
            int free = packetSender.freeBytes(response.withContent(page, List.of())) - MemberRecord.MAX_TEXT_BYTES;
            String lastName = "";
            for (MemberEntry entry : table.othersAfter(join.cursor())) {
                MemberRecord member = entry.record;
                if (member.status() == MemberStatus.DEAD || member.name().equals(join.sender())) {
                    // Pages do not carry deaths: after a healed partition the other side may have newer information.
                    continue;
                }
                if (member.sizeBytes() > free) {
                    cursor = lastName;
                    break;
                }
                free -= member.sizeBytes();
                page.add(member);
                lastName = member.name();
            }
        }
        packetSender.send(
                fromAddress, response.withPage(cursor, hash).withContent(page, List.of()), Priority.TABLE, nowMillis);
    }

    /**
     * Handles a received page after its records were merged.
     *
     * @param changed whether the records changed the table
     */
    void onSync(String fromAddress, SwimMessage sync, boolean changed, long nowMillis) {
        joined = true;
        boolean tablesEqual = sync.tableHash() == table.hash();
        initialSync &= !tablesEqual;
        if (session != null && session.sequence == sync.sequence()) {
            session.changed |= changed;
            session.attempts = 0;
            session.nextMillis = nowMillis + PAGE_PERIOD_MILLIS;
            session.sequence = 0;
            if (tablesEqual) {
                endSession();
            } else if (sync.cursor().isEmpty()) {
                endPass(nowMillis);
            } else {
                session.cursor = sync.cursor();
            }
        } else if (openRequests.remove(sync.sequence()) != null && session == null && !tablesEqual) {
            session = new SyncSession(fromAddress, sync.cursor(), nowMillis + PAGE_PERIOD_MILLIS);
            session.changed = changed;
            if (sync.cursor().isEmpty()) {
                endPass(nowMillis);
            }
        }
    }

    private void endPass(long nowMillis) {
        session.pass++;
        session.unchangedPasses = session.changed ? 0 : session.unchangedPasses + 1;
        if (session.unchangedPasses >= MAX_UNCHANGED_PASSES || session.pass >= MAX_PASSES) {
            endSession();
            return;
        }
        session.changed = false;
        session.cursor = "";
        session.nextMillis = nowMillis + (settings.probePeriodMillis() << session.unchangedPasses);
    }

    private void endSession() {
        session = null;
        initialSync = false;
    }

    private void continueSession(long nowMillis) {
        session.attempts++;
        if (session.attempts > MAX_ATTEMPTS_PER_PAGE) {
            endSession();
            return;
        }
        List<MemberEntry> candidates = table.randomReachable(1, "", random);
        String address = candidates.isEmpty() || (session.pass == 0 && random.nextBoolean())
                ? session.address
                : candidates.get(0).record.address();
        session.sequence = sendJoin(address, session.cursor, nowMillis);
        session.nextMillis = nowMillis + settings.probePeriodMillis();
    }

    private void healPartitions(long nowMillis) {
        List<String> addresses = unreachedAddresses();
        sendJoins(addresses, nowMillis);
        for (MemberEntry entry : table.randomReachable(1, "", random)) {
            sendJoin(entry.record.address(), "", nowMillis);
        }
    }

    /** Returns known addresses (of seeds, the platform's list and dead members) that belong to no reachable member. */
    private List<String> unreachedAddresses() {
        Set<String> addresses = new LinkedHashSet<>(seeds);
        addresses.addAll(platformAddresses.values());
        for (MemberEntry entry : table.others()) {
            addresses.add(entry.record.address());
        }
        addresses.remove(table.self().address());
        if (joined) {
            table.reachable().forEach(entry -> addresses.remove(entry.record.address()));
        }
        return new ArrayList<>(addresses);
    }

    private void sendJoins(List<String> addresses, long nowMillis) {
        Collections.shuffle(addresses, random);
        for (String address : addresses.subList(0, Math.min(ADDRESSES_PER_ROUND, addresses.size()))) {
            sendJoin(address, "", nowMillis);
        }
    }

    private long sendJoin(String address, String cursor, long nowMillis) {
        long requestSequence = ++sequence;
        if (openRequests.size() >= MAX_OPEN_REQUESTS) {
            openRequests.remove(openRequests.keySet().iterator().next());
        }
        openRequests.put(requestSequence, address);
        SwimMessage join = SwimMessage.of(SwimMessage.Type.JOIN, requestSequence)
                .withPage(cursor, table.hash())
                .withContent(List.of(table.self()), List.of());
        packetSender.send(address, join, Priority.TABLE, nowMillis);
        return requestSequence;
    }

    private static final class SyncSession {
        private final String address;
        private String cursor;
        private long nextMillis;
        private long sequence;
        private int attempts;
        private int pass;
        private int unchangedPasses;
        private boolean changed;

        private SyncSession(String address, String cursor, long nextMillis) {
            this.address = address;
            this.cursor = cursor;
            this.nextMillis = nextMillis;
        }
    }
}
