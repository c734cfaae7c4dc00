package io.agatelane.node.io.service;

import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Operation;
import io.agatelane.core.model.Service;
import io.agatelane.core.model.Upstream;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MemberState;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.control.ControlThread;
import io.agatelane.node.fakes.FakeConfigView;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeMembership;
import io.agatelane.node.fakes.NodeContexts;
import io.agatelane.node.io.http.Authenticator;
import io.agatelane.node.io.peer.NettyPeerTransport;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** The service traffic of one router behind a real HTTP server, on a fake platform. */
final class HttpRouter implements AutoCloseable {
    static final String API_KEY = "key-of-the-test";

    final FakeKeyValueStore store;
    final FakeMembership membership;
    final ServiceTraffic traffic;
    private final FakeConfigView config = new FakeConfigView();
    private final String vmName;
    private final ControlThread control;
    private final NettyPeerTransport peers;
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server);
    private final HttpClient client = HttpClient.newHttpClient();

    HttpRouter(int timeoutMillis, String... baseUrls) throws Exception {
        this("vm-1", new FakeKeyValueStore(new FakeControl()), null, timeoutMillis, baseUrls);
    }

    /** Creates one of several routers that share a store through a thread-safe wrapper. */
    HttpRouter(String vmName, FakeKeyValueStore store, UncertainStore shared, int timeoutMillis, String... baseUrls)
            throws Exception {
        this.vmName = vmName;
        this.store = store;
        control = new ControlThread(vmName);
        membership = new FakeMembership(vmName);
        List<Operation> operations =
                List.of(new Operation("POST", "/renewals", false), new Operation("GET", "/status/*", true));
        ConfigSnapshot.Builder builder = ConfigSnapshot.builder()
                .add(new ClientAccount("aargau", List.of(Authenticator.sha256Hex(API_KEY)), 0, 0, 1, ""))
                .add(new Service("permits", "permits", operations, "/status/{key}", timeoutMillis));
        for (int i = 0; i < baseUrls.length; i++) {
            builder.add(new Upstream("permit-" + i, baseUrls[i], "zone-a", List.of(), "permits", 4, false, false));
        }
        config.set(builder.build());
        NodeContext base = NodeContexts.context(vmName, 7, new FakeControl());
        NodeContext context = new NodeContext(base.settings(), 7, control, control, base.metrics());
        peers = new NettyPeerTransport(context, membership);
        traffic = new ServiceTraffic(
                context, config, membership, peers, shared == null ? store : shared, new Authenticator(config));
        peers.start();
        traffic.start();
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(traffic.handler());
        server.start();
    }

    /** Adds another router to the membership of this one. */
    void join(HttpRouter other) {
        membership.put(new Member(other.vmName, 1, MemberState.ALIVE, "127.0.0.1:" + other.peers.port(), "zone-a", 0));
    }

    /** Sends a request; the headers are alternating names and values. */
    HttpResponse<String> send(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        List<String> all = new ArrayList<>(List.of(headers));
        if (!all.contains("Authorization")) {
            all.addAll(List.of("Authorization", "Bearer " + API_KEY));
        }
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + connector.getLocalPort() + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .headers(all.toArray(new String[0]))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    int port() {
        return connector.getLocalPort();
    }

    HttpResponse<String> book(String key) throws IOException, InterruptedException {
        return send("POST", "/services/permits/renewals", "x", "Idempotency-Key", key);
    }

    @Override
    public void close() throws Exception {
        server.stop();
        traffic.close();
        peers.close();
        control.close();
    }
}
