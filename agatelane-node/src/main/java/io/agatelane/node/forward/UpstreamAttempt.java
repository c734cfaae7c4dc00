package io.agatelane.node.forward;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.RequestWork;
import io.agatelane.core.fleet.command.UpstreamLoad;
import io.agatelane.core.fleet.command.UpstreamNotices;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.node.api.UpstreamResponse;
import io.agatelane.node.io.http.FinalStatus;
import io.agatelane.node.io.http.ReadCredit;
import java.net.ConnectException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;

/**
 * One attempt to get a response to a request from an upstream, on a connection of its own.
 *
 * <p>A connection that carries only one request cannot have become unresponsive before it, and no response to an
 * earlier request can arrive on it.
 */
final class UpstreamAttempt implements Response.Listener {
    /** Receives the events of an attempt. Methods are called in the order of the response, never concurrently. */
    interface Listener {
        /** Called with the head of a response; returning false aborts the attempt. */
        boolean onHead(UpstreamAttempt attempt, int status, HttpFields headers, UpstreamResponse upstreamResponse);

        /** Called with some bytes of the body; {@code more} requests the next ones. */
        void onBody(UpstreamAttempt attempt, byte[] bytes, Runnable more);

        /** Called when the response is complete. */
        void onComplete(UpstreamAttempt attempt);

        /** Called when the attempt has failed. */
        void onFailure(UpstreamAttempt attempt, Throwable failure);
    }

    // The caller's content type is forwarded with its other headers.
    private static final String NO_CONTENT_TYPE = null;
    // A thread that writes bytes of the heap keeps a direct buffer of the same size; a whole body would take several MB
    // of memory outside the heap for each thread.
    private static final int WRITE_BYTES = 64 << 10;
    // A busy upstream begins some response within this time.
    private static final long SILENT_MILLIS = 1_000;

    private final ForwardContext context;
    private final UpstreamChoice choice;
    private final RequestWork work;
    private final int number;
    private final Listener listener;
    private final UpstreamLoad load;
    private final Optional<ServiceAdmission> admission;
    private final AtomicBoolean requestBegun = new AtomicBoolean();
    private final AtomicBoolean requestSent = new AtomicBoolean();
    private final AtomicBoolean ended = new AtomicBoolean();
    private Request request;
    private long startedMillis;
    private int bodyBytes;
    private volatile boolean responseStarted;
    private volatile ResponseFraming framing = ResponseFraming.CONNECTION_END;
    private volatile boolean wasRefused;

    UpstreamAttempt(ForwardContext context, UpstreamChoice choice, RequestWork work, int number, Listener listener) {
        this.work = work;
        this.context = context;
        this.choice = choice;
        this.number = number;
        this.listener = listener;
        this.load = context.state().load(choice.candidate().upstream());
        this.admission = context.admissionOfCalls(choice.candidate().upstream().service());
    }

    /** Sends the request. Its body must have been counted in the bytes in flight to the upstream. */
    void start(String method, String pathQuery, HttpFields headers, byte[] body, boolean hasBody) {
        bodyBytes = body.length;
        FleetUpstream upstream = choice.candidate().upstream();
        startedMillis = context.timers().monotonicMillis();
        load.recordSent(this, work, startedMillis);
        admission.ifPresent(ServiceAdmission::recordSent);
        try {
            send(upstream.address(), method, pathQuery, headers, body, hasBody);
        } catch (RuntimeException e) {
            // The client does not accept the request, for example because of its address.
            end(e);
        }
    }

    private void send(
            String address, String method, String pathQuery, HttpFields headers, byte[] body, boolean hasBody) {
        request = requestTo(address, pathQuery)
                .method(method)
                .headers(fields -> {
                    fields.clear();
                    fields.add(headers);
                })
                .onRequestBegin(ignored -> requestBegun.set(true))
                .onRequestSuccess(ignored -> requestSent.set(true));
        if (hasBody) {
            request.body(new ByteBufferRequestContent(NO_CONTENT_TYPE, parts(body)));
        }
        request.send(this);
    }

    private static List<ByteBuffer> parts(byte[] body) {
        List<ByteBuffer> parts = new ArrayList<>();
        for (int start = 0; start < body.length; start += WRITE_BYTES) {
            parts.add(ByteBuffer.wrap(body, start, Math.min(WRITE_BYTES, body.length - start))
                    .slice());
        }
        return parts;
    }

    // The client's method for a path takes what follows two slashes at its start for a host.
    private Request requestTo(String address, String pathQuery) {
        String base = "http://" + address;
        if (pathQuery.startsWith("//")) {
            try {
                return context.client().newRequest(new URI(base + pathQuery));
            } catch (URISyntaxException e) {
                // A path with characters that a URI does not allow, which the method for a path leaves as it is.
                return context.client().newRequest(base).path(pathQuery);
            }
        }
        return context.client().newRequest(base).path(pathQuery);
    }

    /** Aborts the attempt; the upstream sees its connection close. */
    void abort(Throwable cause) {
        if (request != null) {
            request.abort(cause);
        }
    }

    FleetUpstream upstream() {
        return choice.candidate().upstream();
    }

    UpstreamChoice choice() {
        return choice;
    }

    /** When the attempt was started, as monotonic time. */
    long startedMillis() {
        return startedMillis;
    }

    int number() {
        return number;
    }

    /** Whether bytes may have reached the upstream. */
    boolean mayHaveBeenSent() {
        return requestBegun.get();
    }

    /**
     * Whether the upstream had left requests unanswered for some time when this one was sent, and has not responded to
     * any request since.
     */
    boolean wasUpstreamSilent() {
        return choice.candidate().estimate().oldestUnansweredMillis() > SILENT_MILLIS
                && load.hasBeenSilentSince(startedMillis - SILENT_MILLIS);
    }

    /** Whether the head of a response has arrived. */
    boolean hasResponse() {
        return responseStarted;
    }

    /** How the response states its end; to be called after its head has arrived. */
    ResponseFraming framing() {
        return framing;
    }

    @Override
    public void onHeaders(Response response) {
        try {
            readHead(response);
        } catch (RuntimeException e) {
            // The client only logs an exception of a listener and would go on with the response.
            response.abort(e);
        }
    }

    private void readHead(Response response) {
        FinalStatus.require(response.getStatus());
        responseStarted = true;
        framing = ResponseFraming.of(request.getMethod(), response.getStatus(), response.getHeaders());
        load.recordResponseStarted(this, work, context.timers().monotonicMillis());
        UpstreamResponse upstreamResponse =
                context.ports().upstreamProtocol().decode(response.getStatus(), response.getHeaders());
        long nowMillis = context.timers().monotonicMillis();
        upstreamResponse
                .load()
                .ifPresent(report ->
                        load.recordReport(report.running(), report.waiting(), report.durationPercent(), nowMillis));
        recordNotices(response.getStatus(), upstreamResponse, nowMillis);
        admission.ifPresent(calls -> recordAdmission(calls, upstreamResponse, nowMillis));
        if (!listener.onHead(this, response.getStatus(), response.getHeaders(), upstreamResponse)) {
            response.abort(new ConnectException("the response is not used"));
        }
    }

    private void recordAdmission(ServiceAdmission calls, UpstreamResponse response, long nowMillis) {
        if (isOfOtherUpstream(response)) {
            return;
        }
        response.load().ifPresent(report -> calls.recordReport(upstream(), report, nowMillis));
        boolean hasOtherReason = response.refusedExpectation()
                || response.leaving()
                || response.pauseMillis().isPresent();
        if (response.notExecuted() && !hasOtherReason) {
            calls.recordRefusal(upstream(), nowMillis);
        }
        wasRefused = response.notExecuted();
    }

    private boolean isOfOtherUpstream(UpstreamResponse response) {
        return response.upstreamId().filter(id -> !id.equals(upstream().id())).isPresent();
    }

    // Another upstream at the same address speaks for itself only.
    private void recordNotices(int status, UpstreamResponse response, long nowMillis) {
        if (isOfOtherUpstream(response)) {
            return;
        }
        UpstreamNotices notices = context.state().notices();
        if (response.leaving() && notices.recordLeaving(upstream().key(), nowMillis)) {
            ForwardLog.upstreamLeaving(context, upstream().key(), status);
        }
        response.pauseMillis().ifPresent(millis -> {
            if (notices.recordPause(upstream().key(), millis, nowMillis)) {
                ForwardLog.upstreamPaused(context, upstream().key(), millis);
            }
        });
    }

    @Override
    public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
        ByteBuffer buffer = chunk.getByteBuffer();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        ReadCredit.of(request).ifPresent(credit -> credit.extendByContent(bytes.length));
        listener.onBody(this, bytes, demander);
    }

    // A response that states its end is whole, whether or not the request was sent to its end: an upstream may answer
    // before it has read the body, and never read it. One that ends with its connection is whole only if the rest of
    // the request can still be sent: the operating system reports a reset once, to whichever of the reader and the
    // writer asks first, and a reader that comes second sees a regular end.
    @Override
    public void onSuccess(Response response) {
        if (framing == ResponseFraming.CONNECTION_END && !requestSent.get()) {
            return;
        }
        if (recordEnd()) {
            listener.onComplete(this);
            if (!requestSent.get()) {
                request.abort(new ConnectException("the response has ended"));
            }
        }
    }

    @Override
    public void onComplete(Result result) {
        if (result.isFailed()) {
            end(result.getFailure());
        } else if (recordEnd()) {
            if (!wasRefused) {
                long millis = context.timers().monotonicMillis() - startedMillis;
                admission.ifPresent(calls -> calls.recordAnswered(upstream(), millis));
            }
            listener.onComplete(this);
        }
    }

    private void end(Throwable failure) {
        if (recordEnd()) {
            // An attempt whose response has begun is also ended by its caller or by the router itself.
            if (!responseStarted) {
                long nowMillis = context.timers().monotonicMillis();
                admission.ifPresent(calls -> calls.recordFailure(upstream(), nowMillis));
            }
            listener.onFailure(this, failure);
        }
    }

    private boolean recordEnd() {
        boolean isFirst = ended.compareAndSet(false, true);
        if (isFirst) {
            load.recordEnded(this, work, context.timers().monotonicMillis());
            context.upstreamBytes().release(upstream().key(), bodyBytes);
            admission.ifPresent(ServiceAdmission::recordEnded);
        }
        return isFirst;
    }
}
