package io.agatelane.node.forward;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.command.UpstreamLoad;
import io.agatelane.core.fleet.query.Choice;
import io.agatelane.node.api.UpstreamAnswer;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;

/**
 * One send of a request to one upstream, on a connection of its own.
 *
 * <p>A connection that carries one request cannot be silent from before, and no earlier answer can arrive on it.
 */
final class Send implements Response.Listener {
    /** What a send reports to its call. Methods are called in the order of the answer, never at the same time. */
    interface Listener {
        /** The head of an answer; false ends the send. */
        boolean onHead(Send send, int status, HttpFields headers, UpstreamAnswer answer);

        /** Some bytes of the body; {@code more} asks for the next ones. */
        void onBody(Send send, byte[] bytes, Runnable more);

        /** The answer is complete. */
        void onComplete(Send send);

        /** The send failed. */
        void onFailure(Send send, Throwable failure);
    }

    // The type that the caller states is forwarded with its other headers.
    private static final String NO_CONTENT_TYPE = null;

    private final ForwardContext context;
    private final Choice choice;
    private final int priority;
    private final int number;
    private final Listener listener;
    private final UpstreamLoad load;
    private final AtomicBoolean begun = new AtomicBoolean();
    private final AtomicBoolean ended = new AtomicBoolean();
    private Request request;
    private volatile boolean answered;

    Send(ForwardContext context, Choice choice, int priority, int number, Listener listener) {
        this.priority = priority;
        this.context = context;
        this.choice = choice;
        this.number = number;
        this.listener = listener;
        this.load = context.state().load(choice.candidate().upstream());
    }

    /** Sends the request. */
    void start(String method, String pathQuery, HttpFields headers, byte[] body, boolean hasBody) {
        FleetUpstream upstream = choice.candidate().upstream();
        load.sent(this, priority, choice.prefillMillis(), context.timers().monotonicMillis());
        request = context.client()
                .newRequest("http://" + upstream.address())
                .method(method)
                .path(pathQuery)
                .headers(fields -> {
                    fields.clear();
                    fields.add(headers);
                })
                .onRequestBegin(ignored -> begun.set(true));
        if (hasBody) {
            request.body(new BytesRequestContent(NO_CONTENT_TYPE, body));
        }
        request.send(this);
    }

    /** Ends the send; the upstream sees its connection close. */
    void abort(Throwable cause) {
        request.abort(cause);
    }

    FleetUpstream upstream() {
        return choice.candidate().upstream();
    }

    Choice choice() {
        return choice;
    }

    int number() {
        return number;
    }

    /** Whether bytes may have reached the upstream. */
    boolean maySent() {
        return begun.get();
    }

    /** Whether a head of an answer has arrived. */
    boolean isAnswered() {
        return answered;
    }

    @Override
    public void onHeaders(Response response) {
        answered = true;
        load.answered(this, priority, choice.prefillMillis());
        UpstreamAnswer answer = context.ports().upstreams().decode(response.getStatus(), response.getHeaders());
        long nowMillis = context.timers().monotonicMillis();
        answer.load()
                .ifPresent(
                        report -> load.reported(report.running(), report.waiting(), report.speedPercent(), nowMillis));
        if (!listener.onHead(this, response.getStatus(), response.getHeaders(), answer)) {
            response.abort(new ConnectException("the answer is not used"));
        }
    }

    @Override
    public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
        ByteBuffer buffer = chunk.getByteBuffer();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        listener.onBody(this, bytes, demander);
    }

    @Override
    public void onComplete(Result result) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        load.ended(this, priority, choice.prefillMillis());
        if (result.isFailed()) {
            listener.onFailure(this, result.getFailure());
        } else {
            listener.onComplete(this);
        }
    }
}
