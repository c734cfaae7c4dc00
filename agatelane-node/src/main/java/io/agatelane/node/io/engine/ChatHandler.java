package io.agatelane.node.io.engine;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.ClientAccount;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.io.http.Authenticator;
import io.agatelane.node.io.http.BodyReader;
import io.agatelane.node.io.http.ProblemDocuments;
import io.agatelane.node.util.EventLog;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves chat completions and the model list to callers. No thread is blocked while a response streams. */
final class ChatHandler extends Handler.Abstract.NonBlocking {
    private static final EventLog LOG = EventLog.of(ChatHandler.class);
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String MODELS_PATH = "/v1/models";
    private static final String LAST_EVENT_ID = "Last-Event-ID";
    private static final long SHUTDOWN_RETRY_MILLIS = 1_000;

    private final TrafficContext traffic;
    private final ConfigView config;
    private final Authenticator authenticator;
    private final CallGate gate;

    ChatHandler(TrafficContext traffic, ConfigView config, Authenticator authenticator, CallGate gate) {
        this.traffic = traffic;
        this.config = config;
        this.authenticator = authenticator;
        this.gate = gate;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals(CHAT_PATH)) {
            handleChat(request, response, callback);
            return true;
        }
        if (path.equals(MODELS_PATH)) {
            listModels(request, response, callback);
            return true;
        }
        return false;
    }

    private void listModels(Request request, Response response, Callback callback) {
        try {
            requireMethod(request, response, "GET");
            authenticator.authenticate(request);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            byte[] body = EngineTraffic.modelsJson(config.current()).getBytes(StandardCharsets.UTF_8);
            response.write(true, ByteBuffer.wrap(body), callback);
        } catch (AgatelaneException e) {
            ProblemDocuments.write(response, callback, e, refusalId());
        }
    }

    private void handleChat(Request request, Response response, Callback callback) {
        traffic.metrics().requests.inc();
        if (!gate.enter()) {
            traffic.metrics().refused.inc();
            ProblemDocuments.write(
                    response,
                    callback,
                    new AgatelaneException(FailureType.SHUTTING_DOWN, "this router is shutting down")
                            .withRetryAfterMillis(SHUTDOWN_RETRY_MILLIS),
                    refusalId());
            return;
        }
        traffic.metrics().active.inc();
        AtomicBoolean hasEnded = new AtomicBoolean();
        Runnable endRequest = () -> {
            if (hasEnded.compareAndSet(false, true)) {
                traffic.metrics().active.dec();
                gate.leave();
            }
        };
        // The call counts until its last byte is written, not only until its outcome is known.
        Callback countingCallback = Callback.from(endRequest, callback);
        try {
            requireMethod(request, response, "POST");
            ClientAccount account = authenticator.authenticate(request);
            var unused = BodyReader.read(request, traffic.context().settings().maxBodyBytes())
                    .whenComplete(
                            (body, failure) -> onBodyRead(request, response, countingCallback, account, body, failure));
        } catch (AgatelaneException e) {
            refuse(response, countingCallback, e);
        }
    }

    private void onBodyRead(
            Request request,
            Response response,
            Callback callback,
            ClientAccount account,
            byte[] body,
            Throwable failure) {
        try {
            if (failure != null) {
                throw AgatelaneException.from(failure);
            }
            startCall(request, response, callback, ChatRequest.parse(body, account, config.current(), traffic.table()));
        } catch (AgatelaneException e) {
            refuse(response, callback, e);
        } catch (RuntimeException e) {
            LOG.event("chat_request_failed").error(e);
            refuse(
                    response,
                    callback,
                    new AgatelaneException(FailureType.INTERNAL, "the request failed inside the router", e));
        }
    }

    private void startCall(Request request, Response response, Callback callback, ChatRequest chatRequest) {
        String lastEventId = request.getHeaders().get(LAST_EVENT_ID);
        EventId lastEvent = lastEventId == null ? null : EventId.parse(lastEventId);
        if (lastEvent != null && !chatRequest.fingerprint().matches(lastEvent.requestId())) {
            throw new AgatelaneException(
                    FailureType.STREAM_NOT_RESUMABLE,
                    "the Last-Event-ID belongs to another request; repeat the request without it");
        }
        String requestId = chatRequest.fingerprint().requestId(traffic.nextNonce());
        AtomicReference<ChatCall> call = new AtomicReference<>();
        Runnable onDisconnect = () -> {
            ChatCall current = call.get();
            if (current != null) {
                current.callerDisconnected();
            }
        };
        CallerSink sink = chatRequest.stream()
                ? new StreamSink(response, callback, requestId, onDisconnect)
                : new JsonResponseSink(response, callback, requestId);
        call.set(new ChatCall(traffic, chatRequest, requestId, sink));
        // The idle timeout ends the request only while a write to the caller is blocked: waiting for an engine is not
        // idleness. ChatCall detects an idle engine, and a failed write shows that the caller disconnected.
        request.addIdleTimeoutListener(timeout -> sink.isBlocked());
        request.addFailureListener(unused -> onDisconnect.run());
        if (lastEvent == null) {
            call.get().start();
        } else {
            call.get().resume(lastEvent);
        }
    }

    private void refuse(Response response, Callback callback, AgatelaneException failure) {
        traffic.metrics().refused.inc();
        ProblemDocuments.write(response, callback, failure, refusalId());
    }

    // Returns an id for a request that is refused before its body is known.
    private String refusalId() {
        return HexFormat.of().toHexDigits(traffic.nextNonce());
    }

    private static void requireMethod(Request request, Response response, String method) {
        if (!request.getMethod().equals(method)) {
            response.getHeaders().put(HttpHeader.ALLOW, method);
            throw new AgatelaneException(
                    FailureType.METHOD_NOT_ALLOWED, "the method must be " + method + ", not " + request.getMethod());
        }
    }
}
