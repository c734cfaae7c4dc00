package io.agatelane.lab.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.Exchange;
import io.agatelane.lab.http.LabClient;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;

/**
 * Sends the arrivals of a plan at their intended times, whether or not earlier ones have ended.
 *
 * <p>Latencies count from the intended send time, so that a stall of the system or of this tool is not hidden.
 */
public final class LoadRunner {
    private static final long RESPONSE_TIMEOUT_MILLIS = 60_000;

    private final LabClient client;
    private final String weightsVersion;
    private final LoadTarget target;
    private final WorkloadReport report;
    private long startNanos;

    /**
     * Creates a runner.
     *
     * @param weightsVersion weights version whose output the responses are compared with; empty skips the comparison
     */
    public LoadRunner(LabClient client, Workload workload, String weightsVersion, LoadTarget target) {
        this.client = client;
        this.weightsVersion = weightsVersion;
        this.target = target;
        this.report = new WorkloadReport(workload);
    }

    /** Runs the plan and waits for all responses. */
    public WorkloadReport run(List<Arrival> plan) throws InterruptedException {
        CountDownLatch unfinished = new CountDownLatch(plan.size());
        startNanos = System.nanoTime();
        for (Arrival arrival : plan) {
            ObjectNode body = arrival.body();
            waitUntil(startNanos + (long) (arrival.intendedMillis() * 1e6));
            send(arrival, body, unfinished);
        }
        if (!unfinished.await(RESPONSE_TIMEOUT_MILLIS + 5_000, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException(unfinished.getCount() + " responses did not end in time");
        }
        return report;
    }

    private static void waitUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }

    private void send(Arrival arrival, ObjectNode body, CountDownLatch unfinished) {
        ClassStats stats = report.statsOf(arrival.workloadClass().name());
        stats.recordSent();
        LoadTarget.Call call = target.prepareCall(arrival, body);
        Request request = client.http()
                .POST(call.url())
                .timeout(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .body(new StringRequestContent("application/json", body.toString()));
        request.headers(fields -> call.headers().forEach(fields::put));
        request.send(new ResponseListener(arrival, stats, unfinished));
    }

    private double millisSinceIntended(Arrival arrival) {
        return (System.nanoTime() - startNanos) / 1e6 - arrival.intendedMillis();
    }

    /** Reads one response and records its result. */
    private final class ResponseListener implements Response.Listener {
        private final Arrival arrival;
        private final ClassStats stats;
        private final CountDownLatch unfinished;
        private final ByteArrayOutputStream content = new ByteArrayOutputStream();
        private final ChatReader reader = new ChatReader(this::recordFirstToken);
        private double firstTokenMillis = -1;
        private boolean isEventStream;

        private ResponseListener(Arrival arrival, ClassStats stats, CountDownLatch unfinished) {
            this.arrival = arrival;
            this.stats = stats;
            this.unfinished = unfinished;
        }

        @Override
        public void onHeaders(Response response) {
            String type = response.getHeaders().get("Content-Type");
            isEventStream = response.getStatus() == 200 && type != null && type.startsWith("text/event-stream");
        }

        @Override
        public void onContent(Response response, ByteBuffer bytes) {
            if (isEventStream) {
                reader.feed(bytes);
            } else {
                byte[] copy = new byte[bytes.remaining()];
                bytes.get(copy);
                content.writeBytes(copy);
            }
        }

        @Override
        public void onComplete(Result result) {
            try {
                recordResult(result);
            } catch (RuntimeException e) {
                stats.recordFailure("unreadable answer");
            } finally {
                target.onRequestEnd(arrival);
                report.recordResponseEnd(arrival.intendedMillis() + millisSinceIntended(arrival));
                unfinished.countDown();
            }
        }

        private void recordFirstToken() {
            firstTokenMillis = millisSinceIntended(arrival);
        }

        private void recordResult(Result result) {
            if (result.isFailed()) {
                stats.recordFailure(result.getFailure().getClass().getSimpleName());
            } else if (result.getResponse().getStatus() != 200) {
                stats.recordRefusal(refusalReason(result.getResponse().getStatus()), millisSinceIntended(arrival));
            } else if (arrival.workloadClass().isBooking()) {
                recordBooking();
            } else {
                recordChat();
            }
        }

        private void recordBooking() {
            if (arrival.key().equals(parseContent().path("key").asText())) {
                double millis = millisSinceIntended(arrival);
                stats.recordSuccess(millis, millis);
                report.recordSuccess(arrival.account());
            } else {
                stats.recordFailure("answer to another booking");
            }
        }

        private void recordChat() {
            stats.recordTokens(reader.promptTokens(), reader.cachedTokens(), reader.tokens());
            if (!reader.problem().isEmpty()) {
                stats.recordFailure(reader.problem());
            } else if (!reader.isDone()) {
                stats.recordFailure("stream without end");
            } else if (!weightsVersion.isEmpty() && !reader.text().equals(arrival.expectedText(weightsVersion))) {
                stats.recordFailure("text differs");
            } else {
                stats.recordSuccess(firstTokenMillis, millisSinceIntended(arrival));
                report.recordSuccess(arrival.account());
            }
        }

        private String refusalReason(int status) {
            JsonNode node = parseContent();
            String type =
                    node.path("type").asText(node.path("error").path("type").asText(""));
            return status + " " + type.substring(type.lastIndexOf(':') + 1);
        }

        private JsonNode parseContent() {
            try {
                return Exchange.MAPPER.readTree(content.toString(StandardCharsets.UTF_8));
            } catch (IOException e) {
                throw new IllegalStateException("the response is not JSON", e);
            }
        }
    }
}
