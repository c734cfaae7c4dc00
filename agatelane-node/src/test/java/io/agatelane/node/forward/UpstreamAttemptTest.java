package io.agatelane.node.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.RequestWork;
import io.agatelane.core.fleet.UpstreamEstimate;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.node.api.UpstreamResponse;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fleet.FleetState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.Test;

public class UpstreamAttemptTest {
    // Guards against a request that gets no answer because the HTTP client does not accept the upstream's address.
    @Test
    public void unacceptableAddressFailsTheAttempt() throws Exception {
        HttpClient client = new HttpClient();
        client.start();
        FakeControl control = new FakeControl();
        FleetState state = new FleetState("vm-1");
        ForwardContext context = new ForwardContext(null, null, state, null, client, control, new MetricRegistry());
        FleetUpstream upstream = new FleetUpstream("i-1", 1, "x", "127.0.0.300:port", "z", 4, false, Map.of());
        Candidate candidate = new Candidate(upstream, UpstreamEstimate.IDLE, 0);
        RecordingListener listener = new RecordingListener();
        UpstreamAttempt attempt = new UpstreamAttempt(
                context,
                new UpstreamChoice(candidate, 0, 0, 0, Optional.empty()),
                new RequestWork(0, 0, 0),
                1,
                listener);
        try {
            attempt.start("GET", "/x", HttpFields.build(), new byte[0], false);
            attempt.abort(new IllegalStateException("the request has ended"));
        } finally {
            client.stop();
        }
        assertEquals(listener.failures.size(), 1);
        assertFalse(attempt.mayHaveBeenSent());
        assertEquals(state.reportedLoads(0), List.of());
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
