package io.agatelane.node.io.platform;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.api.PeerTransport;
import io.agatelane.node.config.ConfigService;
import io.agatelane.node.control.ControlThread;
import io.agatelane.node.fakes.FakeMembership;
import io.agatelane.wire.operator.ApplyRequest;
import io.agatelane.wire.operator.ApplyResponse;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.operator.Kind;
import io.agatelane.wire.operator.ListRequest;
import io.agatelane.wire.operator.RoutingPolicySpec;
import io.agatelane.wire.peer.PeerFrame;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class ConfigOverHttpTest {
    private static final int WAIT_SECONDS = 60;
    private static final int ROUTERS = 3;
    private static final int CHANGES = 20;

    /**
     * Guards against races between the threads of the HTTP client and the control threads, and against lost changes
     * (invariant I9 in docs/design.md).
     */
    @Test
    public void routersRaceOverHttp() throws Exception {
        List<AutoCloseable> opened = new ArrayList<>();
        try {
            FakePlatformServer platform = open(opened, new FakePlatformServer());
            List<ConfigService> services = new ArrayList<>();
            for (int i = 0; i < ROUTERS; i++) {
                services.add(router(opened, "entry-" + i, platform.url()));
            }
            List<CompletableFuture<ApplyResponse>> calls = new ArrayList<>();
            for (int change = 0; change < CHANGES; change++) {
                for (int i = 0; i < ROUTERS; i++) {
                    calls.add(services.get(i).apply(policy("p-" + i + "-" + change)));
                }
            }
            Set<Long> revisions = new HashSet<>();
            for (CompletableFuture<ApplyResponse> call : calls) {
                revisions.add(call.get(WAIT_SECONDS, TimeUnit.SECONDS).getRevision());
            }
            assertEquals(revisions.size(), ROUTERS * CHANGES);
            // A router that starts now sees exactly the accepted changes.
            ConfigService late = router(opened, "late", platform.url());
            assertEquals(late.current().revision(), ROUTERS * CHANGES);
            assertEquals(late.list(listPolicies()).getObjectsCount(), ROUTERS * CHANGES);
        } finally {
            for (int i = opened.size() - 1; i >= 0; i--) {
                opened.get(i).close();
            }
        }
    }

    private static ConfigService router(List<AutoCloseable> opened, String name, String url) throws Exception {
        ControlThread control = open(opened, new ControlThread(name));
        NodeContext context =
                new NodeContext(PlatformClientTest.settings(name, url), 1, control, control, new MetricRegistry());
        PlatformClient client = open(opened, new PlatformClient(context));
        client.start();
        ConfigService service =
                open(opened, new ConfigService(context, client, new FakeMembership(name), new NoPeers()));
        service.start().get(WAIT_SECONDS, TimeUnit.SECONDS);
        return service;
    }

    private static <T extends AutoCloseable> T open(List<AutoCloseable> opened, T closeable) {
        opened.add(closeable);
        return closeable;
    }

    private static ApplyRequest policy(String name) {
        return ApplyRequest.newBuilder()
                .setObject(ConfigObject.newBuilder()
                        .setName(name)
                        .setRoutingPolicy(RoutingPolicySpec.newBuilder()
                                .setFirstTokenDeadlineMillis(1)
                                .setLongRequestMillis(1)
                                .setLongSharePercent(1)))
                .setChangeId("change-" + name)
                .build();
    }

    private static ListRequest listPolicies() {
        return ListRequest.newBuilder().setKind(Kind.ROUTING_POLICY).build();
    }

    private static final class NoPeers implements PeerTransport {
        @Override
        public CompletableFuture<PeerFrame> request(String vmName, PeerFrame frame, long timeoutMillis) {
            return CompletableFuture.failedFuture(new AgatelaneException(FailureType.PEER_UNREACHABLE, vmName));
        }

        @Override
        public void onRequest(PeerFrame.BodyCase kind, Handler handler) {
            // No peer sends requests.
        }
    }
}
