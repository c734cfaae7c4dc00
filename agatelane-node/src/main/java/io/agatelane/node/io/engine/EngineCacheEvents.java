package io.agatelane.node.io.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.routing.UpstreamState;
import io.agatelane.node.util.EventLog;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;

/**
 * Follows the cache events of engines and turns them into hints about cached prefixes. Hints improve routing, but
 * nothing depends on them for correctness.
 */
final class EngineCacheEvents {
    private static final EventLog LOG = EventLog.of(EngineCacheEvents.class);
    private static final long UPDATE_PERIOD_MILLIS = 1_000;
    // A stream without events for this long is reopened, because a dead connection looks the same.
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;
    private static final long UNSUPPORTED_RETRY_MILLIS = 60_000;
    // Bounds the work of a router in a large fleet; for engines beyond it, hints come only from the responses that this
    // router receives.
    private static final int MAX_FOLLOWED_ENGINES = 64;

    private final TrafficContext traffic;
    private final Map<String, Follower> followers = new HashMap<>();

    EngineCacheEvents(TrafficContext traffic) {
        this.traffic = traffic;
    }

    void start() {
        var unused = traffic.timer()
                .scheduleWithFixedDelay(this::updateFollowersSafely, 0, UPDATE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void updateFollowersSafely() {
        try {
            updateFollowers();
        } catch (RuntimeException | Error e) {
            LOG.event("engine_events_failed").error(e);
        }
    }

    // Runs on the timer thread only.
    private void updateFollowers() {
        Map<String, Engine> engines = traffic.table().engines();
        followers.entrySet().removeIf(entry -> {
            boolean removed = engines.get(entry.getKey()) == null;
            if (removed) {
                entry.getValue().close();
            }
            return removed;
        });
        String zone = traffic.context().settings().availabilityZone();
        for (Engine engine : engines.values()) {
            boolean eligible =
                    engine.upstream().availabilityZone().equals(zone) || engines.size() <= MAX_FOLLOWED_ENGINES;
            boolean hasCapacity = followers.containsKey(engine.name()) || followers.size() < MAX_FOLLOWED_ENGINES;
            if (eligible && hasCapacity && engine.state().reachable()) {
                followers
                        .computeIfAbsent(engine.name(), unused -> new Follower())
                        .reconnectIfNeeded(engine);
            }
        }
    }

    /** Follows the event stream of one engine. */
    private final class Follower implements EngineStream.Listener {
        private static final long NO_SEQUENCE = -1;

        private Engine engine;
        private EngineStream stream;
        private String incarnation = "";
        private long lastSequence = NO_SEQUENCE;
        private long hintKey;
        private long nextAttemptMillis = Long.MIN_VALUE;

        synchronized void reconnectIfNeeded(Engine current) {
            long nowMillis = traffic.nowMillis();
            engine = current;
            if (stream != null && nowMillis - stream.lastByteMillis() > IDLE_TIMEOUT_MILLIS) {
                close();
            }
            if (stream == null && nowMillis >= nextAttemptMillis) {
                stream = new EngineStream(
                        traffic.client().events(engine.baseUrl(), lastSequence + 1), this, traffic::nowMillis);
                stream.start();
            }
        }

        synchronized void close() {
            if (stream != null) {
                stream.abort();
                stream = null;
            }
        }

        @Override
        public synchronized void onHeaders(EngineStream source, HttpFields headers) {
            String received = String.valueOf(headers.get("X-Engine-Incarnation"));
            if (!received.equals(incarnation)) {
                incarnation = received;
                lastSequence = NO_SEQUENCE;
            }
            hintKey = engine.state().hintKey(incarnation);
        }

        @Override
        public synchronized void onEvent(EngineStream source, SseParser.Event event) {
            ObjectNode node = EngineChunk.parse(event.data());
            if (node == null || source != stream) {
                return;
            }
            long sequence = node.path("seq").asLong(NO_SEQUENCE);
            if (lastSequence != NO_SEQUENCE && sequence <= lastSequence) {
                return;
            }
            if (lastSequence != NO_SEQUENCE && sequence != lastSequence + 1) {
                LOG.event("engine_events_gap")
                        .with("upstream", engine.name())
                        .with("expected", lastSequence + 1)
                        .with("received", sequence)
                        .info();
                dropHints();
            }
            lastSequence = sequence;
            apply(node);
        }

        @Override
        public void whenReady(EngineStream source, Runnable demand) {
            demand.run();
        }

        @Override
        public synchronized void onRefused(EngineStream source, int status, HttpFields headers, String body) {
            stream = null;
            nextAttemptMillis = traffic.nowMillis() + UNSUPPORTED_RETRY_MILLIS;
            LOG.event("engine_events_refused")
                    .with("upstream", engine.name())
                    .with("status", status)
                    .info();
        }

        @Override
        public synchronized void onEnd(EngineStream source, Throwable failure) {
            stream = null;
        }

        private void apply(JsonNode node) {
            UpstreamState state = engine.state();
            long nowMillis = traffic.nowMillis();
            switch (node.path("type").asText()) {
                case "stored" -> node.path("digests")
                        .forEach(digest -> traffic.hints().put(state.nodeHash(), hintKey, parse(digest), nowMillis));
                case "evicted" -> node.path("digests")
                        .forEach(digest -> traffic.hints().remove(hintKey, parse(digest)));
                case "cleared" -> dropHints();
                default -> {
                    // Event types that later engine versions add are ignored.
                }
            }
        }

        private void dropHints() {
            engine.state().invalidateHints();
            hintKey = engine.state().hintKey(incarnation);
        }

        private static long parse(JsonNode digest) {
            try {
                return Long.parseUnsignedLong(digest.asText(), 16);
            } catch (NumberFormatException e) {
                return 0;
            }
        }
    }
}
