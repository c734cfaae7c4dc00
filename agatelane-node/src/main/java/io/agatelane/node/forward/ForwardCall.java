package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.Executed;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.NamedWeights;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.fleet.command.CrashSuspects;
import io.agatelane.core.fleet.command.UpstreamLoad;
import io.agatelane.core.fleet.query.Choice;
import io.agatelane.core.fleet.query.EnginePriority;
import io.agatelane.core.fleet.query.EventFramer;
import io.agatelane.core.fleet.query.PromptCache;
import io.agatelane.node.api.CallerRequest;
import io.agatelane.node.api.Subscription;
import io.agatelane.node.api.UpstreamAnswer;
import io.agatelane.node.api.UpstreamCall;
import io.agatelane.node.fleet.FleetKnowledge;
import io.agatelane.node.util.EventLog;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * One request on its way: chosen upstreams, sends, answer.
 *
 * <p>All state is guarded by the call's monitor. A request that was sent is never refused as "not run" unless each
 * upstream has said so.
 */
final class ForwardCall implements Send.Listener {
    private static final EventLog LOG = EventLog.of(ForwardCall.class);
    // Connects that fail cost nothing, but a fleet that is down must not be tried through.
    private static final int MAX_UNSENT = 3;
    // Shortest time that is worth a send: a round trip between zones and the fastest answer.
    private static final long MIN_SEND_MILLIS = 15;
    // An outdated proof is renewed by the next read of the store.
    private static final long STALE_RETRY_MILLIS = 500;

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
    private final EventFramer framer;
    private final UpstreamSelection selection;

    private Optional<PromptCache> cache = Optional.empty();
    private Optional<String> saveTo = Optional.empty();
    private CallerWatch watch;
    private Subscription deadlineTimer;
    private Send current;
    private int sends;
    private int unsent;
    private boolean mayHaveRun;
    private boolean committed;
    private boolean done;
    private int status;
    private long firstByteMillis = -1;
    private HttpFields head;

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
        this.callback = callback;
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
                        account.map(FleetAccount::priority).orElse(OptionalInt.empty()), route.priority(), prompt))
                .orElse(0);
        this.framer = route.resumable() ? new EventFramer() : null;
        this.selection = new UpstreamSelection(context, caller, route, account, service, priority);
    }

    /** Sends the request for the first time. */
    synchronized void start() {
        long now = context.timers().monotonicMillis();
        context.budget(service).recordRequest(now);
        watch = CallerWatch.start(request, this::onCallerGone);
        deadlineTimer = context.timers().after(Math.max(0, deadlineMillis - now), this::onDeadline);
        dispatch();
    }

    private void dispatch() {
        try {
            long now = context.timers().monotonicMillis();
            long leftMillis = deadlineMillis - now;
            if (leftMillis < MIN_SEND_MILLIS) {
                throw new AgatelaneException(FailureType.OVERLOADED, "no time is left for another send");
            }
            FleetKnowledge known = context.state().knowledge();
            checkProof(known);
            checkCrashes(now);
            UpstreamSelection.Selected selected = selection.select(known, tried, sends == 0, now, leftMillis);
            cache = selected.cache();
            send(known, selected.choice(), leftMillis);
        } catch (AgatelaneException e) {
            fail(mayHaveRun ? e.withExecuted(Executed.UNKNOWN) : e);
        } catch (RuntimeException e) {
            LOG.event("request_failed_inside").with("id", caller.id()).error(e);
            fail(AgatelaneException.from(e));
        }
    }

    private void checkProof(FleetKnowledge known) {
        if (account.isEmpty()) {
            return;
        }
        long age = known.proof()
                .map(proof -> proof.ageMillis(
                        context.timers().monotonicMillis(), context.timers().epochMillis()))
                .orElse(Long.MAX_VALUE);
        if (age > context.settings().maxProofMillis()) {
            throw new AgatelaneException(
                            FailureType.PLATFORM_UNAVAILABLE,
                            "the key cannot be checked: the configuration was last read " + age + " ms ago")
                    .withRetryAfterMillis(STALE_RETRY_MILLIS);
        }
    }

    private void checkCrashes(long now) {
        CrashSuspects suspects = context.state().suspects();
        if (!suspects.isEmpty() && suspects.isQuarantined(fingerprint(), now)) {
            context.metrics().counter("requests_quarantined_total").inc();
            throw new AgatelaneException(
                    FailureType.QUARANTINED_REQUEST, "upstreams have crashed while they ran this request");
        }
    }

    private long fingerprint() {
        return Fingerprint.of(request.getMethod(), request.getHttpURI().getPathQuery(), account, body);
    }

    private void send(FleetKnowledge known, Choice choice, long leftMillis) {
        tried.add(choice.candidate().upstream().key());
        cache.flatMap(found -> found.reading(choice.candidate()))
                .ifPresent(context.state().placements()::placed);
        HttpFields.Mutable headers = HttpFields.build();
        context.ports().upstreams().encode(request.getHeaders(), upstreamCall(choice, leftMillis), headers);
        boolean hasBody =
                body.length > 0 || HttpMethod.POST.is(request.getMethod()) || HttpMethod.PUT.is(request.getMethod());
        Send send = new Send(context, choice, priority, sends + 1, this);
        current = send;
        CallLog.sent(context, caller.id(), send.number(), choice, known);
        send.start(request.getMethod(), request.getHttpURI().getPathQuery(), headers, body, hasBody);
    }

    private UpstreamCall upstreamCall(Choice choice, long leftMillis) {
        FleetUpstream upstream = choice.candidate().upstream();
        long version = choice.candidate().weightsVersion();
        boolean isPrompt = cache.isPresent();
        saveTo = cache.flatMap(found -> found.saveTo(version));

        return new UpstreamCall(
                upstream.id(),
                account.map(FleetAccount::name),
                leftMillis,
                isPrompt ? OptionalInt.of(priority) : OptionalInt.empty(),
                isPrompt ? OptionalLong.of(version) : OptionalLong.empty(),
                cache.map(found -> found.salt(version)),
                choice.cacheSource(),
                saveTo,
                framer == null ? Optional.empty() : framer.lastEventId());
    }

    @Override
    public synchronized boolean onHead(Send send, int newStatus, HttpFields headers, UpstreamAnswer answer) {
        if (done || send != current) {
            return false;
        }
        UpstreamLoad load = context.state().load(send.upstream());
        long now = context.timers().monotonicMillis();
        Optional<String> unusable = unusable(newStatus, answer);
        if (answer.notExecuted()) {
            noteRefusal(send, answer);
            sends++;
            next(send, "not_run", "status " + newStatus);
            return false;
        }
        mayHaveRun = true;
        if (unusable.isPresent()) {
            load.failed(now);
            sends++;
            next(send, "unusable", unusable.get());
            return false;
        }
        boolean failed = newStatus >= HttpStatus.INTERNAL_SERVER_ERROR_500;
        if (failed && !committed && deadlineMillis - now > MIN_SEND_MILLIS && mayRepeat(sends + 1, now)) {
            sends++;
            sendAgain(send, "upstream_error", "status " + newStatus);
            return false;
        }
        if (!failed) {
            load.succeeded(now);
            cache.ifPresent(found -> found.placements(send.choice().candidate(), saveTo.isPresent())
                    .forEach(context.state().placements()::placed));
            answer.weightsVersion().ifPresent(version -> context.state().sawWeights(send.upstream(), version));
        }
        if (!committed) {
            status = newStatus;
            head = headers;
        }
        return true;
    }

    private void clearSuspicion() {
        if (!context.state().suspects().isEmpty()) {
            context.state().suspects().served(fingerprint());
        }
    }

    private void noteRefusal(Send send, UpstreamAnswer answer) {
        boolean otherUpstream = answer.upstreamId()
                .filter(id -> !id.equals(send.upstream().id()))
                .isPresent();
        if (answer.refusedExpectation() && otherUpstream) {
            context.state().sawReplacement(send.upstream());
        } else if (answer.refusedExpectation() && caller.prompt().isPresent()) {
            // The weights differ from the entry: most likely the newest ones were loaded since it was written.
            long newest = context.state()
                    .knowledge()
                    .newestWeights(caller.prompt().get().model())
                    .map(NamedWeights::newest)
                    .orElse(0L);
            context.state().sawWeights(send.upstream(), answer.weightsVersion().orElse(newest));
        } else {
            context.state().load(send.upstream()).failed(context.timers().monotonicMillis());
        }
    }

    private Optional<String> unusable(int newStatus, UpstreamAnswer answer) {
        boolean otherRequest =
                answer.requestId().filter(id -> !id.equals(caller.id())).isPresent();
        if (otherRequest) {
            return Optional.of(
                    "the answer belongs to request " + answer.requestId().get());
        }
        if (!answer.signed()) {
            return Optional.of("the answer is not signed, status " + newStatus);
        }
        if (answer.encoded()) {
            return Optional.of("the body was transformed");
        }
        return Optional.empty();
    }

    private boolean mayRepeat(int sendsSoFar, long now) {
        return sendsSoFar < route.maxUpstreams()
                && (!mayHaveRun || route.mayRunAgain())
                && (!committed || (framer != null && framer.lastEventId().isPresent()))
                && context.tryTakeRetry(service, now);
    }

    @Override
    public synchronized void onBody(Send send, byte[] bytes, Runnable more) {
        if (done || send != current) {
            return;
        }
        byte[] ready = framer == null ? bytes : framer.append(bytes);
        if (ready.length == 0) {
            more.run();
            return;
        }
        commit();
        response.write(false, ByteBuffer.wrap(ready), Callback.from(more, failure -> onCallerGone()));
    }

    private void commit() {
        if (committed) {
            return;
        }
        committed = true;
        firstByteMillis = context.timers().monotonicMillis() - arrivedMillis;
        response.setStatus(status);
        context.ports().upstreams().relay(head, response.getHeaders());
        Answers.closeWhenDraining(context, response);
    }

    @Override
    public synchronized void onComplete(Send send) {
        if (done || send != current) {
            return;
        }
        sends++;
        if (status < HttpStatus.INTERNAL_SERVER_ERROR_500) {
            clearSuspicion();
        }
        commit();
        byte[] rest = framer == null ? new byte[0] : framer.rest();
        finish("answered");
        response.write(true, ByteBuffer.wrap(rest), callback);
    }

    @Override
    public synchronized void onFailure(Send send, Throwable failure) {
        if (done || send != current) {
            return;
        }
        context.state().load(send.upstream()).failed(context.timers().monotonicMillis());
        if (!send.maySent()) {
            unsent++;
            CallLog.sendEnded(caller.id(), send.number(), send.upstream().key(), "not_sent", failure.toString());
            if (unsent <= MAX_UNSENT) {
                dispatch();
            } else {
                fail(refusal("no connection to an upstream of " + service));
            }
            return;
        }
        mayHaveRun = true;
        sends++;
        if (!(failure instanceof TimeoutException)) {
            context.state().suspects().crashed(fingerprint(), context.timers().monotonicMillis());
        }
        next(send, "broken", failure.toString());
    }

    // The send has ended without a usable answer: send again where that is allowed, otherwise say what is known.
    private void next(Send send, String outcome, String detail) {
        if (mayRepeat(sends, context.timers().monotonicMillis())) {
            sendAgain(send, outcome, detail);
            return;
        }
        CallLog.sendEnded(caller.id(), send.number(), send.upstream().key(), outcome, detail);
        if (mayHaveRun) {
            fail(new AgatelaneException(FailureType.UPSTREAM_FAILED, "the upstream failed: " + detail));
        } else {
            fail(refusal("the upstream refused the request: " + detail));
        }
    }

    private void sendAgain(Send send, String outcome, String detail) {
        CallLog.sendEnded(caller.id(), send.number(), send.upstream().key(), outcome, detail);
        current = null;
        if (framer != null) {
            framer.dropPartialEvent();
        }
        dispatch();
    }

    private static AgatelaneException refusal(String detail) {
        return new AgatelaneException(FailureType.OVERLOADED, detail)
                .withRetryAfterMillis(UpstreamSelection.BUSY_RETRY_MILLIS);
    }

    private synchronized void onDeadline() {
        if (done) {
            return;
        }
        fail(new AgatelaneException(FailureType.UPSTREAM_TIMEOUT, "the time of the request is over"));
    }

    private synchronized void onCallerGone() {
        if (done) {
            return;
        }
        finish("caller_gone");
        abortCurrent();
        callback.failed(new QuietException.Exception("the caller closed its connection"));
    }

    private void fail(AgatelaneException failure) {
        boolean wasCommitted = committed;
        if (!wasCommitted) {
            status = context.ports().callers().status(failure);
        }
        finish(wasCommitted ? "cut" : failure.type().code().replace('-', '_'));
        abortCurrent();
        if (wasCommitted) {
            // The answer must not look complete, so its connection is closed in the middle of it.
            callback.failed(new QuietException.Exception(failure.getMessage(), failure));
        } else {
            Answers.writeFailure(context, response, callback, failure, caller.id());
        }
    }

    private void abortCurrent() {
        if (current != null) {
            current.abort(new AgatelaneException(FailureType.UPSTREAM_FAILED, "the request has ended"));
        }
    }

    private void finish(String outcome) {
        done = true;
        watch.stop();
        deadlineTimer.cancel();
        CallLog.ended(
                context,
                caller.id(),
                route,
                status,
                outcome,
                sends,
                firstByteMillis,
                context.timers().monotonicMillis() - arrivedMillis);
    }
}
