package io.agatelane.node.io.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.Executed;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.routing.LoadReport;
import io.agatelane.core.routing.RequestProfile;
import io.agatelane.core.routing.UpstreamState;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;

/**
 * One caller's request, from routing to the last byte of the response, over all its attempts. All state is guarded by
 * the object's lock; no operation blocks while holding it.
 */
final class ChatCall implements EngineStream.Listener {
    private static final String DONE = "[DONE]";
    // An engine that sends nothing for this long is probed on a new connection.
    private static final long IDLE_TIMEOUT_MILLIS = 3_000;
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;
    private static final long KEEP_ALIVE_PERIOD_MILLIS = 2_000;
    // A caller that lost its connection can resume within this time before the engine's stream is cancelled.
    private static final long RESUME_GRACE_MILLIS = 1_000;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_PROBES_WITHOUT_PROGRESS = 2;

    private final TrafficContext traffic;
    private ChatRequest request;
    private final CallerSink sink;
    private final String requestId;
    private RequestProfile profile;
    private final ResponseAssembler assembler;
    private final StreamPosition position;
    private final EngineCallLog log;
    private final Set<String> tried = new HashSet<>();
    private final long arrivedMillis;
    private EngineAttempt primary;
    private EngineAttempt hedge;
    private long chargedTokens;
    private int attemptCount;
    private boolean hedged;
    private boolean mayHaveRun;
    private boolean resumedByCaller;
    private boolean ended;
    private long lastKeepAliveMillis;

    ChatCall(TrafficContext traffic, ChatRequest request, String requestId, CallerSink sink) {
        this.traffic = traffic;
        this.request = request;
        this.sink = sink;
        this.requestId = requestId;
        this.assembler = new ResponseAssembler(requestId, sink, traffic.metrics());
        this.position = assembler.position();
        this.log = new EngineCallLog(requestId);
        this.profile = traffic.profile(request);
        this.arrivedMillis = traffic.nowMillis();
        this.lastKeepAliveMillis = arrivedMillis;
    }

    /** Admits the request and sends it to an engine, or refuses it at once. */
    synchronized void start() {
        boolean suspectRunning = traffic.isSuspectRunningInOtherCall(this);
        traffic.calls().add(this);
        try {
            traffic.admission().requireSafeToRun(request, suspectRunning, arrivedMillis);
            EngineChoice choice = traffic.dispatcher().choose(request, requestId, profile, tried, 1);
            // Recorded after the choice, which depends on whether earlier requests had these prefixes.
            traffic.recordPrefixes(profile, arrivedMillis);
            chargedTokens = traffic.admission().admit(request, choice, arrivedMillis);
            primary = newAttempt(choice);
            primary.stream().start();
        } catch (RuntimeException e) {
            endWith(AgatelaneException.from(e));
        }
    }

    /** Resumes the engine's stream after the last event that the caller received. */
    synchronized void resume(EventId last) {
        traffic.calls().add(this);
        resumedByCaller = true;
        mayHaveRun = true;
        Engine engine = traffic.table().engine(last.upstream()).orElse(null);
        LoadReport report = engine == null ? null : engine.state().report();
        if (report == null || !report.incarnation().equals(last.incarnation())) {
            endWith(Admission.notResumable("the engine of the stream is unknown or was restarted"));
            return;
        }
        // The text before the caller's position is read again, so that another engine can continue it.
        position.skipTo(last.offset() + 1);
        if (last.isContinuation()) {
            position.startAt(last.offset() + 1);
        } else if (!report.weightsVersion().equals(request.model().weightsVersion())) {
            position.markTextUnknown();
        }
        long nowMillis = traffic.nowMillis();
        EngineReservation reservation = new EngineReservation(engine.state(), 0, false, nowMillis);
        primary = new EngineAttempt(
                new EngineChoice(engine, 0, 0, false), last.incarnation(), last.requestId(), 0, reservation, nowMillis);
        log.resumed(last);
        openResumedStream();
    }

    /** Ends the call because its caller disconnected. */
    synchronized void callerDisconnected() {
        if (ended) {
            return;
        }
        traffic.metrics().callersDisconnected.inc();
        EngineAttempt current = primary;
        dropHedge();
        end();
        if (current == null) {
            return;
        }
        if (position.isAtStart()) {
            traffic.cancelAtEngine(current);
            return;
        }
        traffic.schedule(RESUME_GRACE_MILLIS, () -> traffic.cancelUnlessResumed(current));
    }

    /** Ends the call because the same request in another call crashed a second engine. */
    synchronized void quarantine() {
        if (!ended) {
            EngineAttempt current = primary;
            endWith(Admission.quarantined());
            if (current != null) {
                traffic.cancelAtEngine(current);
            }
        }
    }

    RequestFingerprint fingerprint() {
        return request.fingerprint();
    }

    boolean hasFingerprint(RequestFingerprint fingerprint) {
        return request.fingerprint().equals(fingerprint);
    }

    synchronized boolean usesEngineRequest(String engineRequestId) {
        return primary != null && primary.engineRequestId().equals(engineRequestId);
    }

    /** Periodic check: starts a due hedge, detects an idle engine, and sends keep-alives to a waiting caller. */
    synchronized void tick(long nowMillis) {
        if (ended || primary == null) {
            return;
        }
        if (position.isAtStart()) {
            tickBeforeFirstToken(nowMillis);
        }
        if (ended || primary == null || primary.isPaused() || primary.isDiagnosing()) {
            return;
        }
        long idleMillis = nowMillis - primary.stream().lastByteMillis();
        if (primary.isProbing() && idleMillis >= PROBE_TIMEOUT_MILLIS) {
            failOver("the engine does not respond on a new connection", true);
        } else if (!primary.isProbing() && idleMillis >= IDLE_TIMEOUT_MILLIS) {
            probe("the engine sent nothing for " + idleMillis + " ms");
        }
    }

    @Override
    public synchronized void onHeaders(EngineStream stream, HttpFields headers) {
        EngineAttempt attempt = attemptOf(stream);
        if (attempt == null) {
            return;
        }
        String weights = resumedByCaller ? null : request.model().weightsVersion();
        EngineChunk.HeaderCheck check = EngineChunk.checkHeaders(headers, attempt, weights);
        if (check == EngineChunk.HeaderCheck.EXPECTED) {
            attempt.setProbing(false);
            return;
        }
        handleMismatch(attempt, headers, check);
    }

    private void handleMismatch(EngineAttempt attempt, HttpFields headers, EngineChunk.HeaderCheck check) {
        traffic.metrics().mismatchedResponses.inc();
        log.mismatch(attempt, headers.get("X-Request-Id"));
        if (attempt == hedge) {
            dropHedge();
        } else if (check == EngineChunk.HeaderCheck.OTHER_REQUEST) {
            // The engine may be running this request.
            probe("the response belongs to another request");
        } else {
            failOver("the response comes from another incarnation or other weights", false);
        }
    }

    @Override
    public synchronized void onEvent(EngineStream stream, SseParser.Event event) {
        EngineAttempt attempt = attemptOf(stream);
        if (attempt == null) {
            return;
        }
        ObjectNode chunk = event.data().equals(DONE) ? null : EngineChunk.parse(event.data());
        boolean broken = chunk == null || event.type().equals("error") || chunk.has("error");
        if (attempt == hedge) {
            if (broken) {
                dropHedge();
                return;
            }
            if (!EngineChunk.isToken(event, chunk)) {
                return;
            }
            adoptWinningHedge();
        }
        if (!broken) {
            accept(event, chunk);
        } else if (assembler.finishSeen()) {
            complete();
        } else if (event.data().equals(DONE) || chunk == null) {
            probe("the engine ended the stream without a finish reason or sent an event that is not JSON");
        } else {
            failOver("the engine reported " + EngineChunk.errorType(chunk), false);
        }
    }

    @Override
    public void whenReady(EngineStream stream, Runnable demand) {
        setPaused(stream, true);
        sink.whenWritable(() -> {
            setPaused(stream, false);
            demand.run();
        });
    }

    @Override
    public synchronized void onRefused(EngineStream stream, int status, HttpFields headers, String body) {
        EngineAttempt attempt = attemptOf(stream);
        if (attempt == null) {
            return;
        }
        if (EngineChunk.belongsToOther(headers, attempt)) {
            handleMismatch(attempt, headers, EngineChunk.HeaderCheck.OTHER_REQUEST);
            return;
        }
        String type = EngineChunk.errorType(body);
        log.refused(attempt, status, type);
        boolean notExecuted = EngineChunk.isRefusedBeforeExecution(status, type);
        if (attempt == hedge) {
            dropHedge();
        } else if (primary.isProbing()) {
            handleResumeRefused(status);
        } else if (notExecuted || status == 429 || status >= 500) {
            boolean staleView = EngineChunk.isStaleViewRefusal(status, type);
            reroute("the engine refused the request with " + status + " " + type, !notExecuted, staleView);
        } else {
            releaseAttempt();
            endWith(new AgatelaneException(
                    FailureType.MALFORMED_REQUEST, "the engine refused the request: " + status + " " + type));
        }
    }

    @Override
    public synchronized void onEnd(EngineStream stream, Throwable failure) {
        EngineAttempt attempt = attemptOf(stream);
        if (attempt == null) {
            return;
        }
        String reason = failure == null ? "the engine ended the stream early" : EngineClient.describe(failure);
        if (attempt == hedge) {
            dropHedge();
        } else if (assembler.finishSeen()) {
            complete();
        } else if (attempt.isProbing()) {
            diagnose(reason);
        } else if (!stream.mayHaveBeenSent()) {
            traffic.table().markUnreachable(attempt.engine(), reason);
            reroute("the engine cannot be reached", false, true);
        } else {
            probe(reason);
        }
    }

    private EngineAttempt attemptOf(EngineStream stream) {
        if (ended) {
            return null;
        }
        if (primary != null && primary.stream() == stream) {
            return primary;
        }
        return hedge != null && hedge.stream() == stream ? hedge : null;
    }

    private synchronized void setPaused(EngineStream stream, boolean paused) {
        EngineAttempt attempt = attemptOf(stream);
        if (attempt != null) {
            attempt.setPaused(paused);
        }
    }

    private void tickBeforeFirstToken(long nowMillis) {
        if (nowMillis - lastKeepAliveMillis >= KEEP_ALIVE_PERIOD_MILLIS) {
            lastKeepAliveMillis = nowMillis;
            sink.keepAlive();
        }
        if (ended || resumedByCaller) {
            return;
        }
        double overdueFactor = primary.overdueFactor(nowMillis);
        if (overdueFactor > 0) {
            primary.engine().state().recordLatencyFactor(overdueFactor, nowMillis);
        }
        if (!hedged && isHedgeDue(nowMillis)) {
            startHedge(nowMillis);
        }
    }

    private boolean isHedgeDue(long nowMillis) {
        return request.stream()
                && !primary.choice().longRequest()
                && !primary.isProbing()
                && nowMillis - primary.startMillis() >= traffic.hedgeAfterMillis(request, primary.choice())
                && !traffic.admission().isSuspect(request, nowMillis);
    }

    private void startHedge(long nowMillis) {
        hedged = true;
        if (!traffic.admission().hedges().tryTake()) {
            traffic.metrics().hedgesWithoutBudget.inc();
            return;
        }
        Set<String> excluded = new HashSet<>(tried);
        excluded.add(primary.engine().name());
        try {
            EngineChoice choice = traffic.dispatcher().choose(request, requestId, profile, excluded, attemptCount + 1);
            traffic.metrics().hedges.inc();
            hedge = newAttempt(choice);
            hedge.stream().start();
        } catch (AgatelaneException e) {
            log.hedgeWithoutEngine(primary, nowMillis - primary.startMillis());
        }
    }

    private void adoptWinningHedge() {
        EngineAttempt slower = primary;
        primary = hedge;
        hedge = null;
        traffic.metrics().hedgesWon.inc();
        abandon(slower);
    }

    private void dropHedge() {
        if (hedge != null) {
            EngineAttempt dropped = hedge;
            hedge = null;
            abandon(dropped);
        }
    }

    // Replaces a failing attempt by the hedge, if there is one.
    private boolean promoteHedge(String reason) {
        if (hedge == null) {
            return false;
        }
        EngineAttempt failed = primary;
        primary = hedge;
        hedge = null;
        mayHaveRun = true;
        tried.add(failed.engine().name());
        log.hedgePromoted(primary, reason);
        abandon(failed);
        var unused = EngineDiagnosis.of(traffic.client(), failed).thenAccept(result -> {
            if (result == EngineDiagnosis.CRASHED) {
                traffic.table().markUnreachable(failed.engine(), reason);
                traffic.recordCrash(this, request, failed.engine());
            }
        });
        return true;
    }

    private void abandon(EngineAttempt attempt) {
        attempt.stream().abort();
        attempt.reservation().release(traffic.nowMillis());
        traffic.cancelAtEngine(attempt);
    }

    private EngineAttempt newAttempt(EngineChoice choice) {
        attemptCount++;
        return traffic.dispatcher()
                .newAttempt(
                        this,
                        request,
                        choice,
                        EventId.engineRequestId(requestId, attemptCount, !position.isAtStart()),
                        position,
                        arrivedMillis);
    }

    private void accept(SseParser.Event event, ObjectNode chunk) {
        ResponseAssembler.Result result = assembler.accept(primary, event, chunk);
        if (ended) {
            return;
        }
        if (result == ResponseAssembler.Result.BROKEN) {
            probe(assembler.fault());
        } else if (result == ResponseAssembler.Result.TOKEN) {
            primary.recordProgress();
            if (primary.firstTokenMillis() < 0) {
                recordFirstToken();
            }
        }
    }

    private void recordFirstToken() {
        long nowMillis = traffic.nowMillis();
        dropHedge();
        primary.setFirstTokenMillis(nowMillis);
        primary.reservation().endPrefill();
        if (resumedByCaller) {
            return;
        }
        UpstreamState state = primary.engine().state();
        long engineKey = state.hintKey(primary.incarnation());
        traffic.recordCached(profile, state.nodeHash(), engineKey, nowMillis);
        long elapsedMillis = nowMillis - primary.startMillis();
        state.recordLatencyFactor(elapsedMillis / primary.choice().expectedMillis(), nowMillis);
        if (attemptCount == 1 || hedged) {
            traffic.recordFirstToken(request, primary.choice(), nowMillis - arrivedMillis);
        }
    }

    // Resumes the stream on a new connection, which distinguishes a broken connection from a failed engine.
    private void probe(String reason) {
        log.broken(primary, position.nextOffset(), reason);
        if (promoteHedge(reason)) {
            return;
        }
        boolean waitingForFirstToken = !primary.hasProgress()
                && traffic.nowMillis() - primary.startMillis()
                        < 2L * request.policy().firstTokenDeadlineMillis();
        if (primary.incrementProbes() > MAX_PROBES_WITHOUT_PROGRESS && !waitingForFirstToken) {
            failOver("the engine's stream makes no progress", true);
            return;
        }
        primary.stream().abort();
        traffic.metrics().reconnectProbes.inc();
        openResumedStream();
    }

    private void openResumedStream() {
        primary.setProbing(true);
        primary.setPaused(false);
        long from = primary.engineOffset(position.nextOffset());
        primary.setStream(new EngineStream(
                traffic.client().resume(primary.engine().baseUrl(), primary.engineRequestId(), from),
                this,
                traffic::nowMillis));
        primary.stream().start();
    }

    private void handleResumeRefused(int status) {
        if (resumedByCaller && position.isAtStart() && position.textKnown() && position.firstForwarded() > 0) {
            // The engine may have only the rest of the stream; no other engine can continue it without the text before.
            position.startAt(position.firstForwarded());
            openResumedStream();
            return;
        }
        diagnose("the engine refused to resume the stream with status " + status);
    }

    private void diagnose(String reason) {
        EngineAttempt current = primary;
        current.setDiagnosing(true);
        var unused = EngineDiagnosis.of(traffic.client(), current).thenAccept(result -> {
            synchronized (this) {
                if (ended || primary != current) {
                    return;
                }
                current.setDiagnosing(false);
                if (result == EngineDiagnosis.CRASHED) {
                    handleCrash(reason);
                } else {
                    failOver(reason, result == EngineDiagnosis.UNRESPONSIVE);
                }
            }
        });
    }

    private void handleCrash(String reason) {
        EngineAttempt current = primary;
        traffic.table().markUnreachable(current.engine(), reason);
        log.crashed(current, position.nextOffset());
        mayHaveRun = true;
        if (current.engineRequestId().startsWith(requestId)) {
            traffic.recordCrash(this, request, current.engine());
        } else {
            traffic.recordCrashOfResumedStream(request);
        }
        if (position.isAtStart() && !resumedByCaller) {
            // The request may have caused the crash, so the router does not send it to another engine on its own.
            releaseAttempt();
            endWith(new AgatelaneException(
                            FailureType.UPSTREAM_FAILED, "the engine failed while it ran the request: " + reason)
                    .withLocation(current.engine().name()));
            return;
        }
        reroute(reason, true, false);
    }

    private void failOver(String reason, boolean unresponsive) {
        if (unresponsive) {
            traffic.table().markUnreachable(primary.engine(), reason);
        }
        traffic.cancelAtEngine(primary);
        if (!promoteHedge(reason)) {
            reroute(reason, true, false);
        }
    }

    // Sends the request, or the rest of it, to another engine; free of the retry budget after a stale-view refusal.
    private void reroute(String reason, boolean executed, boolean staleView) {
        if (promoteHedge(reason)) {
            return;
        }
        mayHaveRun |= executed;
        String failedEngine = primary.engine().name();
        releaseAttempt();
        tried.add(failedEngine);
        try {
            requireReroute(reason, staleView, failedEngine);
            if (staleView && position.isAtStart()) {
                // The last engine with the weights of this request may have started to load other weights.
                request = traffic.table().withWeightsOfOtherEngine(request, tried);
                profile = traffic.profile(request);
            }
            (position.isAtStart() ? traffic.metrics().retries : traffic.metrics().continuations).inc();
            primary = newAttempt(traffic.dispatcher().choose(request, requestId, profile, tried, attemptCount + 1));
            primary.stream().start();
        } catch (RuntimeException e) {
            endWith(AgatelaneException.from(e));
        }
    }

    private void requireReroute(String reason, boolean staleView, String failedEngine) {
        if (!position.textKnown() || (resumedByCaller && position.isAtStart())) {
            throw Admission.notResumable(reason);
        }
        if (traffic.admission().isQuarantined(request, traffic.nowMillis())) {
            throw Admission.quarantined();
        }
        boolean withinBudget = staleView
                || !position.isAtStart()
                || traffic.admission().retries().tryTake();
        if (attemptCount >= MAX_ATTEMPTS || !withinBudget) {
            throw new AgatelaneException(FailureType.UPSTREAM_FAILED, "no engine completed the request: " + reason)
                    .withLocation(failedEngine);
        }
    }

    private void releaseAttempt() {
        EngineAttempt released = primary;
        primary = null;
        released.stream().abort();
        released.reservation().release(traffic.nowMillis());
    }

    private void complete() {
        long nowMillis = traffic.nowMillis();
        primary.recordService(nowMillis);
        traffic.metrics().completed.inc();
        traffic.recordAnswer(request);
        traffic.closeAfterGrace(primary.stream());
        mayHaveRun = true;
        end();
        sink.complete();
    }

    private void endWith(AgatelaneException failure) {
        dropHedge();
        boolean executed = mayHaveRun || (primary != null && primary.stream().mayHaveBeenSent());
        AgatelaneException reportedFailure = failure.withExecuted(executed ? Executed.UNKNOWN : Executed.NO);
        (attemptCount == 0 ? traffic.metrics().refused : traffic.metrics().failed).inc();
        log.failed(reportedFailure);
        end();
        sink.fail(reportedFailure);
    }

    private void end() {
        ended = true;
        traffic.calls().remove(this);
        if (primary != null) {
            primary.reservation().release(traffic.nowMillis());
            if (!assembler.finishSeen()) {
                primary.stream().abort();
            }
        }
        if (chargedTokens > 0) {
            boolean executed = mayHaveRun || primary != null;
            long promptTokens = executed ? request.prompt().tokenCount() : 0;
            traffic.admission()
                    .settle(request, chargedTokens, promptTokens, position.nextOffset(), traffic.nowMillis());
        }
    }
}
