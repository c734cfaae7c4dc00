package io.agatelane.core.membership;

import io.agatelane.core.membership.command.SwimProtocol;
import io.agatelane.core.membership.query.SwimCounter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/** Connects protocol instances in simulated time, with latency, packet loss, blocked links, crashes and pauses. */
final class SimulatedNetwork {
    /** Capacity of a socket's receive buffer; packets beyond it are lost, as with a real socket. */
    private static final int SOCKET_BUFFER_PACKETS = 150;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.<Event>comparingLong(e -> e.millis).thenComparingLong(e -> e.sequence));
    private final Map<String, Node> nodesByName = new TreeMap<>();
    private final Map<String, Node> nodesByAddress = new TreeMap<>();
    private final Random random;
    private final SwimSettings settings;
    final List<StatusChange> changes = new ArrayList<>();
    final List<Hint> hintsReceived = new ArrayList<>();
    double lossRatio;
    BiPredicate<Node, Node> blocked = (from, to) -> false;
    int largestPacketBytes;
    private long nowMillis;
    private long sequence;

    SimulatedNetwork(long seed) {
        this(seed, SwimSettings.DEFAULT);
    }

    SimulatedNetwork(long seed, SwimSettings settings) {
        this.random = new Random(seed);
        this.settings = settings;
    }

    record StatusChange(long millis, String observer, String subject, MemberStatus from, MemberStatus to) {}

    /** Adds members r0 to r(n-1) spread over zones and regions, and starts them with r0 and r1 as seeds. */
    void startAll(int count, int zones, int zonesPerRegion) {
        for (int i = 0; i < count; i++) {
            int zone = i % zones;
            add("r" + i, "zone-" + zone, "region-" + zone / zonesPerRegion, "10.0.0." + i + ":7000");
        }
        nodesByName.values().forEach(this::start);
    }

    Node add(String name, String zone, String region, String address) {
        Node node = new Node(name, zone, region, address);
        nodesByName.put(name, node);
        nodesByAddress.put(address, node);
        return node;
    }

    /** Starts a process that knows only the two seeds r0 and r1; an earlier process of the node must have ended. */
    void start(Node node) {
        node.start(1_000_000 + nowMillis);
    }

    Node node(String name) {
        return nodesByName.get(name);
    }

    List<Node> running() {
        return nodesByName.values().stream().filter(node -> node.running).toList();
    }

    long nowMillis() {
        return nowMillis;
    }

    void run(long millis) {
        long end = nowMillis + millis;
        while (!events.isEmpty() && events.peek().millis <= end) {
            Event event = events.poll();
            nowMillis = event.millis;
            event.action.run();
        }
        nowMillis = end;
    }

    /** Runs until each running member sees exactly the running ones as live. Returns the time taken; -1 on timeout. */
    long runUntilConsistent(long limitMillis) {
        long start = nowMillis;
        while (nowMillis - start <= limitMillis) {
            if (isConsistent()) {
                return nowMillis - start;
            }
            run(50);
        }
        return -1;
    }

    boolean isConsistent() {
        List<String> expected = running().stream().map(node -> node.name).toList();
        return running().stream().allMatch(node -> node.live().equals(expected));
    }

    long total(SwimCounter counter) {
        return running().stream()
                .mapToLong(node -> node.protocol.counters().get(counter))
                .sum();
    }

    /** Number of deaths that members declared or received from others, although the subject is running. */
    long falseDeaths() {
        return changes.stream()
                .filter(change -> change.to == MemberStatus.DEAD && nodesByName.get(change.subject).running)
                .count();
    }

    private void schedule(long millis, Runnable action) {
        events.add(new Event(millis, sequence++, action));
    }

    private void deliver(Node from, String address, SwimMessage message) {
        largestPacketBytes = Math.max(largestPacketBytes, message.sizeBytes());
        Node to = nodesByAddress.get(address);
        if (to == null || random.nextDouble() < lossRatio || blocked.test(from, to)) {
            return;
        }
        long latency = from.zone.equals(to.zone) ? 1 : from.region.equals(to.region) ? 3 : 40;
        schedule(nowMillis + latency + random.nextInt(3), () -> to.receive(from.address, message));
    }

    private record Event(long millis, long sequence, Runnable action) {}

    /** A VM with its current router process. */
    final class Node {
        final String name;
        final String zone;
        final String region;
        final String address;
        private final ArrayDeque<Runnable> socketBuffer = new ArrayDeque<>();
        SwimProtocol protocol;
        boolean running;
        boolean paused;
        private int processNumber;

        private Node(String name, String zone, String region, String address) {
            this.name = name;
            this.zone = zone;
            this.region = region;
            this.address = address;
        }

        void start(long incarnation) {
            processNumber++;
            running = true;
            MemberRecord self = new MemberRecord(name, MemberStatus.ALIVE, incarnation, address, zone, region, 0);
            protocol = new SwimProtocol(settings, self, random.nextLong(), new Listener());
            List<String> seeds = List.of(node("r0").address, node("r1").address);
            int startedProcess = processNumber;
            schedule(nowMillis + random.nextInt(100), () -> {
                protocol.start(seeds, nowMillis);
                scheduleTick(startedProcess);
            });
        }

        void crash() {
            running = false;
            processNumber++;
            socketBuffer.clear();
        }

        void pause() {
            paused = true;
        }

        void resume() {
            paused = false;
            // The timer may run before the packets that arrived during the pause are received.
            protocol.tick(nowMillis);
            while (!socketBuffer.isEmpty()) {
                socketBuffer.poll().run();
            }
        }

        List<String> live() {
            return protocol.snapshot().live().stream().map(MemberRecord::name).toList();
        }

        Optional<MemberRecord> recordOf(String other) {
            return protocol.snapshot().members().stream()
                    .filter(member -> member.name().equals(other))
                    .findFirst();
        }

        private void scheduleTick(int startedProcess) {
            schedule(nowMillis + SwimProtocol.TICK_MILLIS, () -> {
                if (running && processNumber == startedProcess) {
                    if (!paused) {
                        protocol.tick(nowMillis);
                    }
                    scheduleTick(startedProcess);
                }
            });
        }

        private void receive(String from, SwimMessage message) {
            if (!running) {
                return;
            }
            Runnable action = () -> protocol.receive(from, message, nowMillis);
            if (!paused) {
                action.run();
            } else if (socketBuffer.size() < SOCKET_BUFFER_PACKETS) {
                socketBuffer.add(action);
            }
        }

        private final class Listener implements SwimListener {
            @Override
            public void send(String target, SwimMessage message) {
                deliver(Node.this, target, message);
            }

            @Override
            public void memberChanged(Optional<MemberRecord> before, MemberRecord after) {
                MemberStatus from = before.map(MemberRecord::status).orElse(null);
                if (from != after.status()) {
                    changes.add(new StatusChange(nowMillis, name, after.name(), from, after.status()));
                }
            }

            @Override
            public void configRevisionReceived(String member, long revision) {}

            @Override
            public void hintReceived(Hint hint) {
                hintsReceived.add(hint);
                receivedHintKeys.add(hint.key());
            }

            @Override
            public void memberForgotten(MemberRecord last) {}
        }

        final List<String> receivedHintKeys = new ArrayList<>();
    }
}
