package io.agatelane.node.io.engine;

import io.agatelane.node.api.GossipHintExchange;
import io.agatelane.wire.peer.AccountUsage;
import io.agatelane.wire.peer.Quarantine;
import io.agatelane.wire.peer.UpstreamDigest;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Delivers the hints of every router of a test to all the others at once. */
final class FakeGossipHintExchange {
    private final List<Endpoint> endpoints = new CopyOnWriteArrayList<>();
    private final AtomicInteger deliveredQuarantines = new AtomicInteger();

    GossipHintExchange attach() {
        Endpoint endpoint = new Endpoint();
        endpoints.add(endpoint);
        return endpoint;
    }

    /** Number of quarantine messages that all other routers have received. */
    int deliveredQuarantines() {
        return deliveredQuarantines.get();
    }

    private final class Endpoint implements GossipHintExchange {
        private final List<Consumer<UpstreamDigest>> upstreamListeners = new CopyOnWriteArrayList<>();
        private final List<Consumer<Quarantine>> quarantineListeners = new CopyOnWriteArrayList<>();
        private final List<Consumer<AccountUsage>> usageListeners = new CopyOnWriteArrayList<>();

        @Override
        public void publish(UpstreamDigest digest) {
            others().forEach(other -> other.upstreamListeners.forEach(listener -> listener.accept(digest)));
        }

        @Override
        public void publish(Quarantine quarantine) {
            others().forEach(other -> other.quarantineListeners.forEach(listener -> listener.accept(quarantine)));
            deliveredQuarantines.incrementAndGet();
        }

        @Override
        public void publish(AccountUsage usage) {
            others().forEach(other -> other.usageListeners.forEach(listener -> listener.accept(usage)));
        }

        @Override
        public void onUpstreamDigest(Consumer<UpstreamDigest> listener) {
            upstreamListeners.add(listener);
        }

        @Override
        public void onQuarantine(Consumer<Quarantine> listener) {
            quarantineListeners.add(listener);
        }

        @Override
        public void onAccountUsage(Consumer<AccountUsage> listener) {
            usageListeners.add(listener);
        }

        private List<Endpoint> others() {
            return endpoints.stream().filter(endpoint -> endpoint != this).toList();
        }
    }
}
