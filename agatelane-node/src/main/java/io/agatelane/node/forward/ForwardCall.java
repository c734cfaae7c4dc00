package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.Executed;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.PriorityLevels;
import io.agatelane.core.fleet.RequestWork;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.command.CallConcurrency.Decision;
import io.agatelane.core.fleet.command.UpstreamLoad;
import io.agatelane.core.fleet.query.EnginePriority;
import io.agatelane.core.fleet.query.EngineRoom;
import io.agatelane.core.fleet.query.PrefixLocator;
import io.agatelane.core.fleet.query.UpstreamChoice;
import io.agatelane.node.api.CallerRequest;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.UpstreamCall;
import io.agatelane.node.api.UpstreamResponse;
import io.agatelane.node.fleet.FleetSnapshot;
import io.agatelane.node.io.http.ReadCredit;
import io.agatelane.node.util.EventLog;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Forwards one request: chooses upstreams, makes the attempts and relays the response to the caller.
 *
 * <p>All state is guarded by the call's monitor. A request that was sent is never refused as "not run" unless each
 * upstream has stated so.
 */
final class ForwardCall implements UpstreamAttempt.Listener, ServiceAdmission.Waiter {
    private static final EventLog LOG = EventLog.of(ForwardCall.class);
    // Failed connects do not count as attempts, but a request must not try every upstream of a fleet that is down.
    private static final int MAX_FAILED_CONNECTS = 3;
    // Shortest time that is worth an attempt: a round trip between zones and the fastest response.
    private static final long MIN_ATTEMPT_MILLIS = 15;
    // Longest wait for room at an engine, as a share of the latency objective; the rest is for the prefill.
    private static final double MAX_WAIT_SHARE = 0.7;

    private final ForwardContext context;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final CallerRequest caller;
    private final Route route;
    private final Optional<FleetAccount> account;
    private final byte[] body;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final String service;
    private final Set<String> tried = new HashSet<>();
    private final int priority;
    private final RelayedBody relayedBody;
    private final UnreadWatch unreadWatch;
    private final UpstreamSelection selection;
    private final CrashGuard crashGuard;
    private final AccountAdmission admission;
    private final RequestCost cost;

    private Optional<PrefixLocator> prefixLocator = Optional.empty();
    private Optional<String> saveTo = Optional.empty();
    private CallerDisconnectMonitor disconnectMonitor;
    private Subscription deadlineTimer;
    private UpstreamAttempt current;
    private int attempts;
    private int failedConnects;
    private boolean isWaiting;
    private Subscription waitTimer;
    private boolean mayHaveRun;
    private boolean committed;
    private boolean done;
    private int status;
    private long firstByteMillis = -1;
    private HttpFields upstreamHeaders;

    ForwardCall(
            ForwardContext context,
            Request request,
            Response response,
            Callback callback,
            CallerRequest caller,
            Route route,
            Optional<FleetAccount> account,
            byte[] body,
            long arrivedMillis) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.caller = caller;
        this.route = route;
        this.account = account;
        this.body = body;
        this.arrivedMillis = arrivedMillis;
        long callerMillis = caller.deadlineMillis().orElse(route.timeoutMillis());
        long allowedMillis = route.timeoutMillis() > 0 ? Math.min(callerMillis, route.timeoutMillis()) : callerMillis;
        this.deadlineMillis = arrivedMillis + allowedMillis;
        this.service = route.serviceFor(ThreadLocalRandom.current().nextDouble());
        this.priority = caller.prompt()
                .map(prompt -> EnginePriority.of(
                        context.state()
                                .snapshot()
                                .config()
                                .map(FleetConfig::priorityLevels)
                                .orElse(PriorityLevels.NONE),
                        account.map(FleetAccount::priority).orElse(OptionalInt.empty()),
                        route.priority(),
                        prompt.inputTokens() / context.prefillSpeed(service).tokensPerMilli(),
                        route.latencyObjectiveMillis()))
                .orElse(0);
        this.relayedBody = new RelayedBody(route, context);
        this.callback = Callback.from(callback, relayedBody::release);
        this.unreadWatch = new UnreadWatch(context, request, response, this::onCallerNotReading);
        this.crashGuard = new CrashGuard(context, request, caller, account, body);
        this.cost = new RequestCost(context, caller, route, account, service);
        this.selection = new UpstreamSelection(context, caller, route, account, service, priority, this);
        this.admission =
                new AccountAdmission(context, caller, account, context.timers().monotonicMillis());
    }

    /** Starts the deadline and makes the first attempt. */
    synchronized void start() {
        long now = context.timers().monotonicMillis();
        context.budget(service).recordRequest(now);
        disconnectMonitor =
                new CallerDisconnectMonitor(request.getConnectionMetaData().getConnection(), this::onCallerGone);
        deadlineTimer = context.timers().after(Math.max(0, deadlineMillis - now), this::onDeadline);
        disconnectMonitor.start();
        if (!done) {
            dispatch();
        }
    }

    private void dispatch() {
        try {
            long now = context.timers().monotonicMillis();
            long leftMillis = context.shutdown().limit(deadlineMillis) - now;
            checkShutdown(cost.highWholeMillis(), now);
            if (leftMillis < MIN_ATTEMPT_MILLIS) {
                throw new AgatelaneException(FailureType.OVERLOADED, "the deadline leaves no time for another attempt");
            }
            FleetSnapshot snapshot = context.state().snapshot();
            admission.checkKey(snapshot, route);
            crashGuard.check(now);
            admission.check(now);
            Set<String> excluded = UpstreamRoom.excluded(context, snapshot, service, caller.id(), tried, body.length);
            Optional<UpstreamSelection.Selected> selected =
                    selection.select(snapshot, excluded, attempts == 0, isWaiting, now, leftMillis);
            if (selected.isEmpty()) {
                awaitRoom(now);
                return;
            }
            if (isWaiting) {
                leaveQueue();
                context.waiting(service).recordAdmission(now);
            }
            prefixLocator = selected.get().prefixLocator();
            checkShutdown(selected.get().choice().expectedMillis() + cost.outputMillis(prefixLocator.isPresent()), now);
            startAttempt(snapshot, selected.get().choice(), leftMillis);
        } catch (AgatelaneException e) {
            fail(mayHaveRun ? e.withExecuted(Executed.UNKNOWN) : e);
        } catch (RuntimeException e) {
            LOG.event("request_failed_inside").with("id", caller.id()).error(e);
            fail(AgatelaneException.from(e));
        }
    }

    private void checkShutdown(double expectedMillis, long now) {
        if (!mayHaveRun) {
            context.shutdown().check(expectedMillis, now);
        }
    }

    /** Refuses the request if it waits for an upstream that could not answer before the process ends. */
    synchronized void refuseIfLate() {
        if (!done && isWaiting && !mayHaveRun) {
            try {
                checkShutdown(cost.highWholeMillis(), context.timers().monotonicMillis());
            } catch (AgatelaneException e) {
                fail(e);
            }
        }
    }

    /** Gives the request its final response, because the process ends. */
    synchronized void end() {
        if (!done) {
            boolean mayRun = mayHaveRun || (current != null && !isWaiting);
            fail(
                    mayRun
                            ? new AgatelaneException(
                                    FailureType.UPSTREAM_TIMEOUT, "the router ends before the upstream has answered")
                            : Shutdown.refusal());
        }
    }

    // A request waits only while a response within the objective is still possible.
    private void awaitRoom(long now) {
        if (isWaiting) {
            return;
        }
        Optional<ServiceAdmission> admission = context.admissionOfCalls(service);
        if (admission.isPresent()) {
            isWaiting = true;
            waitTimer = () -> admission.get().remove(this);
            return;
        }
        long expectedMillis = context.waiting(service).expectedWaitMillis(priority);
        long maxMillis = Math.round(route.latencyObjectiveMillis() * MAX_WAIT_SHARE) - (now - arrivedMillis);
        if (expectedMillis > maxMillis || maxMillis <= 0) {
            throw noRoom(Math.max(expectedMillis, UpstreamSelection.BUSY_RETRY_MILLIS));
        }
        isWaiting = true;
        waitTimer = context.timers().after(maxMillis, this::onWaitEnded);
        ForwardLog.waiting(context, caller.id(), expectedMillis, maxMillis);
        context.waiting(service).add(this, priority);
    }

    private AgatelaneException noRoom(long retryAfterMillis) {
        context.engineAdmission(service).recordNoRoom(context.timers().monotonicMillis());
        return new AgatelaneException(FailureType.OVERLOADED, "no engine has memory for the prompt in time")
                .withRetryAfterMillis(retryAfterMillis);
    }

    private synchronized void onWaitEnded() {
        if (!done && isWaiting) {
            long expectedMillis = context.waiting(service).expectedWaitMillis(priority);
            fail(noRoom(Math.max(expectedMillis, UpstreamSelection.BUSY_RETRY_MILLIS)));
        }
    }

    /** Sends a waiting request if an engine has room for it; returns false when it has to wait on. */
    synchronized boolean tryAdmit() {
        if (isWaiting && !done) {
            dispatch();
        }
        return !isWaiting || done;
    }

    @Override
    public synchronized void release(Decision decision) {
        if (isWaiting && !done) {
            selection.release(decision);
            dispatch();
        }
    }

    private void leaveQueue() {
        isWaiting = false;
        waitTimer.cancel();
        context.waiting(service).remove(this);
    }

    private void startAttempt(FleetSnapshot snapshot, UpstreamChoice choice, long leftMillis) {
        String key = choice.candidate().upstream().key();
        HttpFields.Mutable headers = HttpFields.build();
        context.ports().upstreamProtocol().encode(request.getHeaders(), upstreamCall(choice, leftMillis), headers);
        boolean hasBody =
                body.length > 0 || HttpMethod.POST.is(request.getMethod()) || HttpMethod.PUT.is(request.getMethod());
        long memoryTokens = prefixLocator.isPresent()
                ? caller.prompt().map(EngineRoom::tokens).orElse(0L)
                : 0;
        RequestWork work = new RequestWork(
                priority, choice.prefillMillis(), cost.outputMillis(prefixLocator.isPresent()), memoryTokens);
        if (!context.upstreamBytes().tryTake(key, body.length)) {
            // Another request has taken the room since the choice.
            dispatch();
            return;
        }
        tried.add(key);
        prefixLocator
                .flatMap(locator -> locator.prefillPlacement(choice.candidate()))
                .ifPresent(context.state().placements()::recordLocal);
        UpstreamAttempt attempt = new UpstreamAttempt(context, choice, work, attempts + 1, this);
        current = attempt;
        admission.recordSent(context.timers().monotonicMillis());
        ForwardLog.sent(context, caller, attempt.number(), choice, snapshot);
        attempt.start(request.getMethod(), request.getHttpURI().getPathQuery(), headers, body, hasBody);
    }

    private UpstreamCall upstreamCall(UpstreamChoice choice, long leftMillis) {
        FleetUpstream upstream = choice.candidate().upstream();
        long version = choice.candidate().weightsVersion();
        boolean isPrompt = prefixLocator.isPresent();
        saveTo = prefixLocator.flatMap(locator -> locator.storeToSaveTo(version));

        return new UpstreamCall(
                upstream.id(),
                account.map(FleetAccount::name),
                leftMillis,
                isPrompt ? OptionalInt.of(priority) : OptionalInt.empty(),
                isPrompt ? OptionalLong.of(version) : OptionalLong.empty(),
                prefixLocator.map(locator -> locator.cacheSalt(version)),
                choice.cacheSource(),
                saveTo,
                relayedBody.lastEventId());
    }

    @Override
    public synchronized boolean onHead(
            UpstreamAttempt attempt, int newStatus, HttpFields headers, UpstreamResponse upstreamResponse) {
        if (done || attempt != current) {
            return false;
        }
        UpstreamLoad load = context.state().load(attempt.upstream());
        long now = context.timers().monotonicMillis();
        ResponseCheck check = new ResponseCheck(caller.id(), newStatus, headers, upstreamResponse);
        boolean promisesNotExecuted =
                !route.mayRunAgain() && context.ports().callerProtocol().impliesNotExecuted(newStatus);
        Optional<String> unusable =
                check.unusable(committed ? Optional.of(upstreamHeaders) : Optional.empty(), promisesNotExecuted);
        // A refusal of another request says nothing about this one, which the upstream may be running.
        if (upstreamResponse.notExecuted() && !check.isOfOtherRequest()) {
            UpstreamRefusals.record(context, caller, attempt.upstream(), upstreamResponse);
            admission.recordNotRun(now);
            attempts++;
            retryOrFail(attempt, "not_run", "status " + newStatus);
            return false;
        }
        mayHaveRun = true;
        if (unusable.isPresent()) {
            load.recordFailure(now);
            attempts++;
            retryOrFail(attempt, "unusable", unusable.get());
            return false;
        }
        crashGuard.recordResponse(attempt.upstream(), attempt.startedMillis());
        boolean failed = newStatus >= HttpStatus.INTERNAL_SERVER_ERROR_500;
        if (failed && !committed && deadlineMillis - now > MIN_ATTEMPT_MILLIS && mayRetry(attempts + 1, now)) {
            attempts++;
            retry(attempt, "upstream_error", "status " + newStatus);
            return false;
        }
        if (!failed) {
            load.recordSuccess(now);
            cost.recordResponse(attempt, prefixLocator, now);
            prefixLocator.ifPresent(
                    locator -> locator.placementsAfterPrefill(attempt.choice().candidate(), saveTo.isPresent())
                            .forEach(context.state().placements()::recordLocal));
            ForwardLog.started(context, caller, attempt, now - attempt.startedMillis());
            caller.prompt()
                    .ifPresent(prompt -> upstreamResponse.weightsVersion().ifPresent(version -> context.state()
                            .recordWeightsVersion(attempt.upstream(), prompt.model(), version)));
        }
        if (!committed) {
            status = newStatus;
            upstreamHeaders = headers;
        }
        relayedBody.begin(newStatus, attempt.framing());
        return true;
    }

    private boolean mayRetry(int attemptsSoFar, long now) {
        return attemptsSoFar < route.maxUpstreams()
                && (!mayHaveRun || route.mayRunAgain())
                && (!committed || relayedBody.lastEventId().isPresent())
                && context.tryTakeRetry(service, now);
    }

    @Override
    public synchronized void onBody(UpstreamAttempt attempt, byte[] bytes, Runnable more) {
        if (done || attempt != current) {
            return;
        }
        byte[] ready;
        try {
            ready = relayedBody.append(bytes);
        } catch (AgatelaneException e) {
            context.state()
                    .load(attempt.upstream())
                    .recordFailure(context.timers().monotonicMillis());
            fail(e);
            return;
        }
        if (ready.length == 0) {
            more.run();
            return;
        }
        commit();
        unreadWatch.write(false, ready, Callback.from(more, failure -> onCallerGone()));
    }

    private void commit() {
        if (committed) {
            return;
        }
        committed = true;
        firstByteMillis = context.timers().monotonicMillis() - arrivedMillis;
        response.setStatus(status);
        context.ports().upstreamProtocol().copyResponseHeaders(upstreamHeaders, response.getHeaders());
        RouterResponses.closeWhenDraining(context, response);
        CallerResponse.frame(request, response);
    }

    @Override
    public synchronized void onComplete(UpstreamAttempt attempt) {
        if (done || attempt != current) {
            return;
        }
        Optional<String> breakReason = relayedBody.breakReason();
        if (breakReason.isPresent()) {
            onFailure(attempt, new EOFException(breakReason.get()));
            return;
        }
        attempts++;
        cost.recordWhole(attempt, context.timers().monotonicMillis());
        crashGuard.recordComplete(
                status < HttpStatus.INTERNAL_SERVER_ERROR_500,
                prefixLocator.isPresent() && HttpStatus.isSuccess(status));
        if (prefixLocator.isPresent() && HttpStatus.isSuccess(status)) {
            cost.recordOutput(attempts, relayedBody.events(), context.timers().monotonicMillis());
        }
        commit();
        byte[] rest = relayedBody.takeRemaining();
        finish("answered");
        unreadWatch.write(true, rest, callback);
    }

    @Override
    public synchronized void onFailure(UpstreamAttempt attempt, Throwable failure) {
        if (done || attempt != current) {
            return;
        }
        context.state().load(attempt.upstream()).recordFailure(context.timers().monotonicMillis());
        if (!attempt.mayHaveBeenSent()) {
            failedConnects++;
            admission.recordNotRun(context.timers().monotonicMillis());
            ForwardLog.attemptEnded(
                    caller.id(), attempt.number(), attempt.upstream().key(), "not_sent", failure.toString());
            if (failure instanceof ConnectException) {
                // No process listens there any more.
                context.state().recordEnded(attempt.upstream(), context.timers().monotonicMillis());
            }
            if (failedConnects <= MAX_FAILED_CONNECTS) {
                dispatch();
            } else {
                fail(refusal("no connection to an upstream of " + service));
            }
            return;
        }
        mayHaveRun = true;
        attempts++;
        if (isConnectionLost(failure)) {
            crashGuard.recordLost(attempt, caller, relayedBody.hasEventOfAnyAttempt(), prefixLocator.isPresent());
        }
        retryOrFail(attempt, "broken", failure.toString());
    }

    // A crash of the upstream closes or resets its connection; bytes that are no response are another fault.
    private static boolean isConnectionLost(Throwable failure) {
        return failure instanceof IOException && !(failure instanceof ReadCredit.ExcessBytesException);
    }

    // The attempt has ended without a usable response: retries where that is allowed, otherwise reports the failure.
    private void retryOrFail(UpstreamAttempt attempt, String outcome, String detail) {
        if (mayRetry(attempts, context.timers().monotonicMillis())) {
            retry(attempt, outcome, detail);
            return;
        }
        ForwardLog.attemptEnded(
                caller.id(), attempt.number(), attempt.upstream().key(), outcome, detail);
        if (mayHaveRun) {
            fail(new AgatelaneException(FailureType.UPSTREAM_FAILED, "the upstream failed: " + detail));
        } else {
            fail(refusal("the upstream refused the request: " + detail));
        }
    }

    private void retry(UpstreamAttempt attempt, String outcome, String detail) {
        ForwardLog.attemptEnded(
                caller.id(), attempt.number(), attempt.upstream().key(), outcome, detail);
        current = null;
        relayedBody.dropPartialEvent();
        dispatch();
    }

    private AgatelaneException refusal(String detail) {
        long retryMillis = selection.retryAfterMillis(
                context.state().snapshot(), context.timers().monotonicMillis());
        return new AgatelaneException(FailureType.OVERLOADED, detail).withRetryAfterMillis(retryMillis);
    }

    private synchronized void onDeadline() {
        if (done) {
            return;
        }
        recordAbandoned();
        if (current != null) {
            cost.recordWhole(current, context.timers().monotonicMillis());
        }
        fail(new AgatelaneException(FailureType.UPSTREAM_TIMEOUT, "the deadline of the request has passed"));
    }

    private void recordAbandoned() {
        if (current != null && current.mayHaveBeenSent() && relayedBody.totalBytes() == 0) {
            crashGuard.recordAbandoned(current);
        }
    }

    private void onCallerNotReading() {
        synchronized (this) {
            ForwardLog.callerNotReading(context, caller.id(), !done);
            if (!done) {
                fail(new AgatelaneException(FailureType.UPSTREAM_FAILED, "the caller does not read its response"));
            }
        }
        // Also ends the last write of a response that the upstream has ended.
        unreadWatch.close();
    }

    private synchronized void onCallerGone() {
        if (done) {
            return;
        }
        recordAbandoned();
        finish("caller_gone");
        abortCurrent();
        callback.failed(new QuietException.Exception("the caller closed its connection"));
    }

    private void fail(AgatelaneException failure) {
        boolean wasCommitted = committed;
        if (!wasCommitted) {
            status = context.ports().callerProtocol().status(failure);
        }
        finish(wasCommitted ? "cut" : failure.type().code().replace('-', '_'));
        abortCurrent();
        if (wasCommitted) {
            CallerResponse.breakOff(request, response, callback, failure);
        } else {
            RouterResponses.writeFailure(context, response, callback, failure, caller.id());
        }
    }

    private void abortCurrent() {
        if (current != null) {
            current.abort(new AgatelaneException(FailureType.UPSTREAM_FAILED, "the request has ended"));
        }
    }

    private void finish(String outcome) {
        done = true;
        if (isWaiting) {
            leaveQueue();
        }
        disconnectMonitor.stop();
        deadlineTimer.cancel();
        ForwardLog.ended(
                context,
                caller.id(),
                route,
                status,
                outcome,
                attempts,
                relayedBody,
                firstByteMillis,
                context.timers().monotonicMillis() - arrivedMillis);
    }
}
