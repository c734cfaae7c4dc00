package io.agatelane.node.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.Interference;
import io.agatelane.core.fleet.RequestWork;
import io.agatelane.core.fleet.UpstreamEstimate;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.node.api.UpstreamResponse;
import io.agatelane.node.cfg.HeldBytes;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fleet.FleetState;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class UpstreamAttemptTest {
    private final HttpClient client = new HttpClient();
    private final FleetState state = new FleetState();

    @BeforeClass
    public void start() throws Exception {
        client.start();
    }

    @AfterClass
    public void stop() throws Exception {
        client.stop();
    }

    // Guards against a request that gets no answer because the HTTP client does not accept the upstream's address.
    @Test
    public void unacceptableAddressFailsTheAttempt() throws Exception {
        RecordingListener listener = new RecordingListener();
        UpstreamAttempt attempt = attempt("127.0.0.300:port", listener);
        attempt.start("GET", "/x", HttpFields.build(), new byte[0], false);
        attempt.abort(new IllegalStateException("the request has ended"));
        assertEquals(listener.failures.size(), 1);
        assertFalse(attempt.mayHaveBeenSent());
        assertEquals(state.reportedLoads(0), List.of());
    }

    @DataProvider
    public Object[][] paths() {
        return new Object[][] {
            {"/"},
            {"/a/b?x=%20&y"},
            {"//file/0"},
            {"//archive/0?all=1"},
            {"///x"},
            {"//"},
            {"//a//b//"},
            {"//user@host:9/x?y=//z"},
            {"//a|b/{c}"},
            {"/a|b?{c}"},
            {"/a/../b/./c"},
            {"/%2F%2Fa;p=1//b"},
            {"/a:b@c"},
            {"/a?"},
        };
    }

    // Guards against a path that reaches the upstream changed, such as one whose first segment is taken for a host.
    @Test(dataProvider = "paths")
    public void pathArrivesUnchanged(String path) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            attempt("127.0.0.1:" + server.getLocalPort(), new RecordingListener())
                    .start("GET", path, HttpFields.build(), new byte[0], false);
            try (Socket socket = server.accept();
                    BufferedReader reader = new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
                assertEquals(reader.readLine(), "GET " + path + " HTTP/1.1");
            }
        }
    }

    private UpstreamAttempt attempt(String address, UpstreamAttempt.Listener listener) {
        ForwardContext context = new ForwardContext(
                null, null, state, null, client, new FakeControl(), new MetricRegistry(), HeldBytes.ofHeap());
        FleetUpstream upstream = new FleetUpstream("i-1", 1, "x", address, "z", 4, false, Map.of());
        Candidate candidate = new Candidate(upstream, UpstreamEstimate.IDLE, 0);
        return new UpstreamAttempt(
                context,
                new UpstreamChoice(candidate, 0, 0, 0, 0, Interference.NONE, Optional.empty()),
                new RequestWork(0, 0, 0),
                1,
                listener);
    }

    private static final class RecordingListener implements UpstreamAttempt.Listener {
        private final List<Throwable> failures = new ArrayList<>();

        @Override
        public boolean onHead(UpstreamAttempt attempt, int status, HttpFields headers, UpstreamResponse response) {
            return false;
        }

        @Override
        public void onBody(UpstreamAttempt attempt, byte[] bytes, Runnable more) {
            more.run();
        }

        @Override
        public void onComplete(UpstreamAttempt attempt) {
            throw new AssertionError("the attempt cannot complete");
        }

        @Override
        public void onFailure(UpstreamAttempt attempt, Throwable failure) {
            failures.add(failure);
        }
    }
}
