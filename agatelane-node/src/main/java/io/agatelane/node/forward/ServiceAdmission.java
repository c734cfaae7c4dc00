package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.command.CallConcurrency;
import io.agatelane.core.fleet.command.CallConcurrency.Action;
import io.agatelane.core.fleet.command.CallConcurrency.Call;
import io.agatelane.core.fleet.command.CallConcurrency.Decision;
import io.agatelane.core.fleet.command.CallConcurrency.Released;
import io.agatelane.core.fleet.command.CallConcurrency.View;
import io.agatelane.core.fleet.command.DecayedCallDurations;
import io.agatelane.core.fleet.command.ServiceShares;
import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.node.api.ReportedLoad;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;

/** This router's part of the slots of one service without engines, and the calls that wait for it. */
final class ServiceAdmission {
    /** Assumed run time of a call without a prompt before any was observed. */
    static final double DEFAULT_CALL_MILLIS = 40;

    // The part changes with each digest, so a wait is never timed further ahead.
    private static final long MAX_CHECK_MILLIS = 25;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String service;
    private final ForwardContext context;
    private final CallConcurrency<Waiter> calls;
    private final ServiceShares shares;
    private final PeriodicCheck check;

    /** A call that may have to wait. */
    interface Waiter {
        /** Called once for a call that waits, with the decision to send or to refuse it. */
        void release(Decision decision);
    }

    ServiceAdmission(String service, ForwardContext context, RandomGenerator random) {
        this.service = service;
        this.context = context;
        this.shares = new ServiceShares(Rendezvous.hash(service), random);
        this.calls = new CallConcurrency<>(new DecayedCallDurations(DEFAULT_CALL_MILLIS), random);
        this.check = new PeriodicCheck(context.timers(), context.client().getExecutor(), this::check);
    }

    /**
     * Decides about a new call. A call that has to wait is given to its {@link Waiter#release} later.
     *
     * @param account hash of the account's name; 0 without an account
     * @throws AgatelaneException with {@code OVERLOADED} when the call exceeds the share of its account and priority
     */
    Decision offer(Call<Waiter> call, long account, String id, List<Candidate> candidates, long nowMillis) {
        View view = view(candidates, nowMillis);
        ServiceDemand.Key key = shares.key(account, call.priority());
        OptionalDouble capacity = calls.capacity(view, nowMillis);
        Optional<ServiceShares.Refusal> refusal =
                shares.offer(key, calls.meanMillis(), context.peerDemands().sums(nowMillis), capacity, nowMillis);
        if (refusal.isPresent()) {
            throw ShareLog.shareExceeded(context, service, id, key, refusal.get(), capacity);
        }
        shares.recordAdmitted(key, calls.meanMillis(), nowMillis);
        Decision decision = calls.offer(call.withPreference(shares.isPreferred(key)), view, nowMillis);
        if (decision.action() == Action.WAIT) {
            ShareLog.callWaits(context, service, id, decision);
            scheduleCheck(nowMillis);
        }
        return decision;
    }

    /** Returns the refusal of a call by this router's part of the slots. */
    AgatelaneException refusal(String id, Decision decision, long nowMillis) {
        ShareLog.callRefused(context, service, id, decision, othersDemand(nowMillis));
        return new AgatelaneException(
                        FailureType.OVERLOADED,
                        "the slots of " + service + " are in use; the call would wait "
                                + Math.round(decision.waitMillis()) + " ms or more")
                .withRetryAfterMillis(UpstreamSelection.BUSY_RETRY_MILLIS + decision.retryAfterMillis());
    }

    void remove(Waiter waiter) {
        calls.remove(waiter);
    }

    void recordSent() {
        calls.recordSent();
    }

    void recordEnded() {
        calls.recordEnded();
        if (calls.waiting() > 0) {
            context.client().getExecutor().execute(this::releaseCalls);
        }
    }

    void recordAnswered(FleetUpstream upstream, long millis) {
        calls.recordAnswered(upstream, millis);
    }

    void recordFailure(FleetUpstream upstream, long nowMillis) {
        calls.recordFailure(upstream, nowMillis);
    }

    void recordReport(FleetUpstream upstream, ReportedLoad load, long nowMillis) {
        calls.recordReport(upstream, load.running(), load.waiting(), nowMillis);
    }

    void recordRefusal(FleetUpstream upstream, long nowMillis) {
        calls.recordRefusal(upstream, nowMillis);
        context.metrics().counter("calls_refused_by_upstream_total").inc();
    }

    /** The demand that this router reports to the others. */
    List<ServiceDemand> demands(long nowMillis) {
        calls.retain(context.state().snapshot().usable(service));
        int keys = calls.capacity(view(nowMillis), nowMillis).isPresent() ? EngineAdmission.MAX_REPORTED_KEYS : 0;
        return shares.demands(keys, calls.waiting(), calls.inFlight(), nowMillis);
    }

    private View view(List<Candidate> candidates, long nowMillis) {
        return new View(
                candidates,
                othersDemand(nowMillis),
                context.peerDemands().reportingRouters(nowMillis),
                context.state().routerCount());
    }

    // Slots that the calls of the other routers need, without those that exceed the share of their account.
    private double othersDemand(long nowMillis) {
        return shares.admittedOf(context.peerDemands().sums(nowMillis)) / MILLIS_PER_SECOND;
    }

    private View view(long nowMillis) {
        return view(
                context.state().candidates(context.state().snapshot(), service, Optional.empty(), Set.of(), nowMillis),
                nowMillis);
    }

    private void scheduleCheck(long nowMillis) {
        if (!check.isPending()) {
            long pause = calls.pauseMillis(view(nowMillis), nowMillis);
            // Without a pause all calls of the part are in flight; the end of one of them releases the next.
            long delay = pause == 0 ? MAX_CHECK_MILLIS : Math.min(pause, MAX_CHECK_MILLIS);
            check.schedule(delay);
        }
    }

    private void check() {
        releaseCalls();
        if (calls.waiting() > 0) {
            scheduleCheck(context.timers().monotonicMillis());
        }
    }

    private void releaseCalls() {
        long now = context.timers().monotonicMillis();
        Optional<Released<Waiter>> next = calls.next(view(now), now);
        while (next.isPresent()) {
            next.get().request().release(next.get().decision());
            next = calls.next(view(now), now);
        }
    }
}
