package io.agatelane.cli;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MemberState;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.api.RoutingInspector;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.cfg.Settings;
import io.agatelane.node.config.ConfigService;
import io.agatelane.node.control.ControlThread;
import io.agatelane.node.io.operator.OperatorServer;
import io.agatelane.wire.operator.CandidateScore;
import io.agatelane.wire.operator.ExplainRequest;
import io.agatelane.wire.operator.ExplainResponse;
import io.agatelane.wire.operator.UpstreamStatus;
import io.agatelane.wire.peer.PeerFrame;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** The operator port of one router, backed by an in-memory store. */
final class TestRouter implements AutoCloseable {
    private final ControlThread control = new ControlThread("entry-1");
    private final MemoryStore store = new MemoryStore();
    private final ConfigService config;
    private final OperatorServer server;

    TestRouter() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Settings settings = new Settings(
                "entry-1",
                "zone-a",
                "region-1",
                anyPort,
                anyPort,
                anyPort,
                "http://127.0.0.1:1",
                1_000,
                1_000,
                List.of(),
                1_024,
                1_024,
                0,
                0,
                42);
        NodeContext context = new NodeContext(settings, 1, control, control, new MetricRegistry());
        SingleMembership membership = new SingleMembership();
        config = new ConfigService(context, store, membership, new NoPeers());
        config.start().get();
        server = new OperatorServer(
                context, config, membership, new FixedInspector(), store, List.of(new PlainHandler()));
        server.start();
    }

    String rpc() {
        return "127.0.0.1:" + server.port();
    }

    void setOutage(boolean outage) {
        store.outage = outage;
    }

    @Override
    public void close() {
        server.close();
        config.close();
        control.close();
    }

    private static final class PlainHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            if (!request.getHttpURI().getPath().equals("/health/live")) {
                return false;
            }
            response.write(true, ByteBuffer.wrap("live".getBytes(StandardCharsets.UTF_8)), callback);
            return true;
        }
    }

    private static final class FixedInspector implements RoutingInspector {
        @Override
        public List<UpstreamStatus> upstreams() {
            return List.of(
                    UpstreamStatus.newBuilder().setName("e1").setState("ready").build());
        }

        @Override
        public ExplainResponse explain(ExplainRequest request) {
            if (!request.getClientAccount().equals("aargau")) {
                throw new AgatelaneException(FailureType.NOT_FOUND, "no such account").withLocation("/client_account");
            }
            return ExplainResponse.newBuilder()
                    .setChosenUpstream("e1")
                    .addCandidates(CandidateScore.newBuilder().setUpstream("e1").setTotalMillis(12.345))
                    .build();
        }
    }

    private static final class SingleMembership implements MembershipView {
        private final Member self = new Member("entry-1", 1, MemberState.ALIVE, "127.0.0.1:1", "zone-a", 0);

        @Override
        public Member self() {
            return self;
        }

        @Override
        public List<Member> members() {
            return List.of(self);
        }

        @Override
        public Optional<Member> member(String name) {
            return Optional.of(self).filter(member -> member.name().equals(name));
        }

        @Override
        public Subscription onChange(Consumer<List<Member>> listener) {
            return () -> {};
        }
    }

    private static final class NoPeers implements PeerTransport {
        @Override
        public CompletableFuture<PeerFrame> request(String vmName, PeerFrame frame, long timeoutMillis) {
            return CompletableFuture.failedFuture(new AgatelaneException(FailureType.PEER_UNREACHABLE, vmName));
        }

        @Override
        public void onRequest(PeerFrame.BodyCase kind, Handler handler) {
            // There are no peers that send requests.
        }
    }

    private static final class MemoryStore implements KeyValueStore {
        private final TreeMap<String, KeyValue> values = new TreeMap<>();
        private long revision;
        private volatile boolean outage;

        @Override
        public synchronized CompletableFuture<Optional<KeyValue>> get(String key) {
            return outage ? unavailable() : CompletableFuture.completedFuture(Optional.ofNullable(values.get(key)));
        }

        @Override
        public synchronized CompletableFuture<List<KeyValue>> list(String prefix) {
            return CompletableFuture.completedFuture(List.copyOf(
                    values.subMap(prefix, prefix + Character.MAX_VALUE).values()));
        }

        @Override
        public synchronized CompletableFuture<Long> compareAndSet(String key, long expected, byte[] value) {
            long actual = values.containsKey(key) ? values.get(key).revision() : 0;
            if (actual != expected) {
                return CompletableFuture.failedFuture(new AgatelaneException(FailureType.SWAP_LOST, key));
            }
            values.put(key, new KeyValue(key, value, ++revision));
            return CompletableFuture.completedFuture(revision);
        }

        @Override
        public CompletableFuture<Long> compareAndSet(String key, long expected, byte[] value, long leaseId) {
            return compareAndSet(key, expected, value);
        }

        @Override
        public CompletableFuture<Void> compareAndDelete(String key, long expected) {
            return unavailable();
        }

        @Override
        public CompletableFuture<Long> grantLease(long ttlMillis) {
            return unavailable();
        }

        @Override
        public CompletableFuture<Long> renewLease(long leaseId) {
            return unavailable();
        }

        @Override
        public CompletableFuture<Void> revokeLease(long leaseId) {
            return unavailable();
        }

        @Override
        public Subscription watch(String key, Consumer<KeyValue> listener) {
            return () -> {};
        }

        @Override
        public boolean reachable() {
            return !outage;
        }

        private static <T> CompletableFuture<T> unavailable() {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "the platform is unreachable"));
        }
    }
}
