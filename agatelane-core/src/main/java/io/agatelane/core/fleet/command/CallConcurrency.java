package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.CallDurations;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.query.CallShares;
import io.agatelane.core.fleet.query.Candidate;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Decides when this router sends calls to the upstreams of one plain service. Thread-safe.
 *
 * <p>While the upstreams have free slots, calls are sent at once. Otherwise this router uses its part of the slots (see
 * {@link CallShares}), which may be less than one slot: each call that it sends uses up the part for the expected
 * duration of a call. Further calls wait, the most urgent first, as long as they can be answered in time.
 *
 * @param <T> type of the requests
 */
public final class CallConcurrency<T> {
    // Longest time without a sign of full upstreams until calls are sent at once again.
    private static final long SCARCE_MILLIS = 1_000;
    // A report or a refusal says that an upstream is full for this time.
    private static final long FULL_MILLIS = 300;
    // Time constant of the arrival rate: some digests, so that the other routers' values are of the same time.
    private static final double DEMAND_MILLIS = 1_000;
    // Demand relative to the slots below which full upstreams only show that the calls were spread badly. The demand is
    // known late, so it is far below 1.
    private static final double SCARCE_DEMAND = 0.5;
    // Demand relative to the slots with which a scarce service stays scarce, although the upstreams look less full.
    private static final double STILL_SCARCE_DEMAND = 0.95;
    // What the shares of accounts admit, relative to the slots: a little more than fits, so that a call waits when a
    // slot becomes free. The parts of the routers refuse what is too much.
    private static final double SHARED_CAPACITY = 1.05;
    // Calls of accounts within their share that a router may send before its part has paid for them. Their sum fits
    // into the slots, and the other accounts' calls wait for longer instead. Without it, routers whose part is less
    // than a slot refuse many of these calls.
    private static final double CALLS_IN_ADVANCE = 2;
    private static final double MILLIS_PER_SECOND = 1_000;
    // An upstream that has failed this often in a row gets no turn for some time; then one call tries it again.
    private static final int FAILURES = 2;
    private static final long FAILING_MILLIS = 1_000;
    // An upstream whose oldest call waits for this many times the usual duration does not respond.
    private static final double UNRESPONSIVE_FACTOR = 20;

    private final CallDurations durations;
    private final RandomGenerator random;
    private final CallQueue<T> queue = new CallQueue<>();
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private double arrivals;
    private long arrivalsUpdatedMillis;
    // Milliseconds of calls that this router may still send; negative after a call until its part has paid for it.
    private double creditMillis;
    private long creditUpdatedMillis;
    private int inFlight;
    private long scarceUntilMillis = Long.MIN_VALUE;
    private long refusedMillis = Long.MIN_VALUE;

    private static final class Upstream {
        private final CallPace pace = new CallPace();
        private double nextTurn;
        private int failures;
        private long failedMillis;

        private boolean isFailing(long nowMillis) {
            return failures >= FAILURES && nowMillis - failedMillis <= FAILING_MILLIS;
        }
    }

    /**
     * A call that wants to be sent.
     *
     * @param priority 0 is the most urgent
     * @param objectiveMillis time at which its latency objective ends; its deadline when it has none
     * @param deadlineMillis time after which the caller does not wait for the response
     * @param isPreferred whether other accounts ask for more than their share, and this one does not; such calls go first
     *     within their priority
     */
    public record Call<T>(T request, int priority, long objectiveMillis, long deadlineMillis, boolean isPreferred) {
        /** Returns the same call, preferred or not. */
        public Call<T> withPreference(boolean preferred) {
            return new Call<>(request, priority, objectiveMillis, deadlineMillis, preferred);
        }
    }

    /**
     * What this router knows of the service.
     *
     * @param candidates upstreams that accept calls
     * @param othersDemand slots that the calls of the other routers need, as far as they have reported it
     * @param reporting number of routers whose demand is known, this one included
     * @param routers number of registered routers
     */
    public record View(List<Candidate> candidates, double othersDemand, int reporting, int routers) {
        public View {
            candidates = List.copyOf(candidates);
        }
    }

    /** What is to happen with a call. */
    public enum Action {
        /** Send the call to any upstream. */
        SEND_FREELY,
        /** Send the call to the upstream of the decision. */
        SEND,
        /** Keep the call until {@link #next} returns it. */
        WAIT,
        /** Refuse the call, which has not run. */
        REFUSE
    }

    /**
     * A decision about a call.
     *
     * @param upstream present to send
     * @param waitMillis expected wait in this router
     * @param retryAfterMillis time after which a refused caller may come back
     * @param part slots of this router's part
     * @param demand slots that the calls of this router need
     */
    public record Decision(
            Action action,
            Optional<Candidate> upstream,
            double waitMillis,
            long retryAfterMillis,
            double part,
            double demand) {}

    /** A waiting call and the decision about it. */
    public record Released<T>(T request, Decision decision) {}

    /**
     * Creates the state of one service.
     *
     * @param random spreads the times at which refused callers come back, and the first upstreams of the routers
     */
    public CallConcurrency(CallDurations durations, RandomGenerator random) {
        this.durations = durations;
        this.random = random;
    }

    /** Decides about a new call, which is counted as demand. */
    public synchronized Decision offer(Call<T> call, View all, long nowMillis) {
        recordArrival(nowMillis);
        View view = healthy(all, nowMillis);
        if (!isScarce(view, nowMillis)) {
            return sendWithoutLimit(view, nowMillis);
        }
        refill(view, nowMillis);
        double millis = durations.meanMillis();
        int ahead = queue.countAhead(call);
        if (ahead == 0 && maySend(call, view, nowMillis)) {
            return send(view, nowMillis);
        }
        double part = part(view, nowMillis);
        double waitMillis = Math.max(0, (ahead * millis - creditMillis - advanceMillis(call)) / part);
        long latestMillis = Math.min(call.objectiveMillis(), call.deadlineMillis());
        if (nowMillis + waitMillis + durations.highMillis() > latestMillis) {
            return refuse(view, waitMillis, nowMillis);
        }
        queue.add(call);
        return decision(Action.WAIT, view, waitMillis, nowMillis);
    }

    /** Returns the next waiting call that is to be sent or refused now; empty when all have to wait on. */
    public synchronized Optional<Released<T>> next(View all, long nowMillis) {
        View view = healthy(all, nowMillis);
        Optional<Call<T>> late = queue.firstWithDeadlineBefore(nowMillis + durations.meanMillis());
        if (late.isPresent()) {
            queue.remove(late.get().request());
            return Optional.of(new Released<>(late.get().request(), refuse(view, 0, nowMillis)));
        }
        Optional<Call<T>> first = queue.first();
        if (first.isEmpty()) {
            return Optional.empty();
        }
        T request = first.get().request();
        Decision decision;
        // Without any upstream the call is released, so that its caller learns of it.
        if (!view.candidates().isEmpty() && isScarce(view, nowMillis)) {
            refill(view, nowMillis);
            if (!maySend(first.get(), view, nowMillis)) {
                return Optional.empty();
            }
            decision = send(view, nowMillis);
        } else {
            decision = sendWithoutLimit(view, nowMillis);
        }
        queue.remove(request);
        return Optional.of(new Released<>(request, decision));
    }

    /**
     * Returns the capacity to divide between accounts and kinds of requests, in milliseconds of calls per second; empty
     * while the service is not limited.
     */
    public synchronized OptionalDouble capacity(View view, long nowMillis) {
        return nowMillis < scarceUntilMillis
                ? OptionalDouble.of(slots(healthy(view, nowMillis)) * SHARED_CAPACITY * MILLIS_PER_SECOND)
                : OptionalDouble.empty();
    }

    /** Expected duration of the next call. */
    public double meanMillis() {
        return durations.meanMillis();
    }

    /** Returns the time until a slot of this router's part is free. */
    public synchronized long pauseMillis(View view, long nowMillis) {
        refill(view, nowMillis);
        return (long) Math.ceil(Math.max(0, -creditMillis / Math.max(part(view, nowMillis), Double.MIN_NORMAL)));
    }

    /** Removes a call that no longer waits; without effect when it does not wait. */
    public synchronized void remove(T request) {
        queue.remove(request);
    }

    /** Number of calls that wait. */
    public synchronized int waiting() {
        return queue.size();
    }

    /** Number of calls that were sent and have not ended. */
    public synchronized int inFlight() {
        return inFlight;
    }

    /** Slots that the calls of this router need, refused calls included. */
    public synchronized double demand(long nowMillis) {
        return arrivals(nowMillis) / DEMAND_MILLIS * durations.meanMillis();
    }

    /** Counts a call that is sent to an upstream. */
    public synchronized void recordSent() {
        inFlight++;
    }

    /** Records the end of a call that was counted as sent. */
    public synchronized void recordEnded() {
        inFlight--;
    }

    /** Records the duration of a call that an upstream has answered. */
    public synchronized void recordAnswered(FleetUpstream upstream, double millis) {
        durations.record(millis);
        upstream(upstream).failures = 0;
    }

    /** Records that an upstream could not be reached or has broken off a call. */
    public synchronized void recordFailure(FleetUpstream upstream, long nowMillis) {
        upstream(upstream).failures++;
        upstream(upstream).failedMillis = nowMillis;
    }

    /** Records the load that an upstream has reported. */
    public synchronized void recordReport(FleetUpstream upstream, int running, int waiting, long nowMillis) {
        upstream(upstream)
                .pace
                .recordReport(running, waiting, upstream.slots(), nowMillis < scarceUntilMillis, nowMillis);
    }

    /** Records that an upstream has refused a call for lack of room. */
    public synchronized void recordRefusal(FleetUpstream upstream, long nowMillis) {
        upstream(upstream).pace.recordRefusal(nowMillis);
        refusedMillis = nowMillis;
    }

    /** Forgets all upstreams but these. */
    public synchronized void retain(List<FleetUpstream> present) {
        upstreams.keySet().retainAll(present.stream().map(FleetUpstream::key).collect(Collectors.toSet()));
    }

    private View healthy(View view, long nowMillis) {
        double unresponsiveMillis = durations.highMillis() * UNRESPONSIVE_FACTOR;
        List<Candidate> healthy = view.candidates().stream()
                .filter(candidate -> !upstream(candidate.upstream()).isFailing(nowMillis)
                        && candidate.estimate().oldestUnansweredMillis() <= unresponsiveMillis)
                .toList();
        return healthy.isEmpty() ? view : new View(healthy, view.othersDemand(), view.reporting(), view.routers());
    }

    private Upstream upstream(FleetUpstream upstream) {
        return upstreams.computeIfAbsent(upstream.key(), key -> {
            Upstream created = new Upstream();
            created.nextTurn = random.nextDouble();
            return created;
        });
    }

    private void recordArrival(long nowMillis) {
        arrivals = arrivals(nowMillis) + 1;
        arrivalsUpdatedMillis = nowMillis;
    }

    private double arrivals(long nowMillis) {
        return arrivals * Math.exp(-Math.max(0, nowMillis - arrivalsUpdatedMillis) / DEMAND_MILLIS);
    }

    private boolean isScarce(View view, long nowMillis) {
        double wanted = demand(nowMillis) + view.othersDemand();
        double slots = slots(view);
        boolean becomesScarce = wanted >= SCARCE_DEMAND * slots && areAllFull(view, slots, nowMillis);
        boolean staysScarce = nowMillis < scarceUntilMillis && wanted >= STILL_SCARCE_DEMAND * slots;
        if (becomesScarce || staysScarce) {
            scarceUntilMillis = nowMillis + SCARCE_MILLIS;
        }
        return nowMillis < scarceUntilMillis;
    }

    private boolean areAllFull(View view, double slots, long nowMillis) {
        double inFlightEverywhere = view.candidates().stream()
                .mapToDouble(candidate -> candidate.estimate().requests())
                .sum();
        return wasRefused(nowMillis)
                || (inFlightEverywhere >= slots && view.candidates().stream().allMatch(this::hasReported))
                || view.candidates().stream().allMatch(candidate -> isFull(upstream(candidate.upstream()), nowMillis));
    }

    // Loads are too old to compare while one upstream is full: all routers would choose the same other one.
    private boolean isAnyFull(View view, long nowMillis) {
        return wasRefused(nowMillis)
                || view.candidates().stream()
                        .anyMatch(candidate -> isFull(upstream(candidate.upstream()), nowMillis)
                                || (hasReported(candidate)
                                        && candidate.estimate().requests()
                                                >= candidate.upstream().slots()));
    }

    // Some upstreams run any number of calls, whatever slots their entries state; they report no load.
    private boolean hasReported(Candidate candidate) {
        return upstream(candidate.upstream()).pace.hasReported();
    }

    private boolean wasRefused(long nowMillis) {
        return refusedMillis != Long.MIN_VALUE && nowMillis - refusedMillis <= SCARCE_MILLIS;
    }

    private static boolean isFull(Upstream upstream, long nowMillis) {
        long fullMillis = upstream.pace.fullMillis();
        return fullMillis != Long.MIN_VALUE && nowMillis - fullMillis <= FULL_MILLIS;
    }

    private double slots(View view) {
        return view.candidates().stream()
                .mapToDouble(candidate -> weight(candidate.upstream()))
                .sum();
    }

    private double weight(FleetUpstream upstream) {
        return Math.max(1, upstream.slots()) * upstream(upstream).pace.value();
    }

    private double part(View view, long nowMillis) {
        return CallShares.part(slots(view), demand(nowMillis), view.othersDemand(), view.reporting(), view.routers());
    }

    private void refill(View view, long nowMillis) {
        double part = part(view, nowMillis);
        double most = durations.meanMillis() * Math.max(0, part - 1);
        creditMillis = Math.min(most, creditMillis + part * Math.max(0, nowMillis - creditUpdatedMillis));
        creditUpdatedMillis = nowMillis;
    }

    private double advanceMillis(Call<T> call) {
        return call.isPreferred() ? CALLS_IN_ADVANCE * durations.meanMillis() : 0;
    }

    private boolean maySend(Call<T> call, View view, long nowMillis) {
        return creditMillis + advanceMillis(call) >= 0 && inFlight <= Math.ceil(part(view, nowMillis));
    }

    private Decision sendWithoutLimit(View view, long nowMillis) {
        if (isAnyFull(view, nowMillis)) {
            return send(view, nowMillis);
        }
        creditMillis = Math.max(0, creditMillis) - durations.meanMillis();
        return decision(Action.SEND_FREELY, view, 0, nowMillis);
    }

    // Takes turns between the upstreams in proportion to their slots, so that each gets calls at even intervals.
    private Decision send(View view, long nowMillis) {
        Candidate chosen = view.candidates().stream()
                .min(Comparator.comparingDouble(candidate -> upstream(candidate.upstream()).nextTurn))
                .orElseThrow();
        double turn = upstream(chosen.upstream()).nextTurn;
        view.candidates().forEach(candidate -> {
            Upstream other = upstream(candidate.upstream());
            other.nextTurn = Math.max(other.nextTurn, turn);
        });
        upstream(chosen.upstream()).nextTurn = turn + 1 / weight(chosen.upstream());
        creditMillis = Math.max(-durations.meanMillis() * CALLS_IN_ADVANCE, creditMillis) - durations.meanMillis();
        double part = part(view, nowMillis);
        return new Decision(Action.SEND, Optional.of(chosen), 0, 0, part, demand(nowMillis));
    }

    private Decision decision(Action action, View view, double waitMillis, long nowMillis) {
        return new Decision(action, Optional.empty(), waitMillis, 0, part(view, nowMillis), demand(nowMillis));
    }

    // A place in the queue becomes free each time that the part has paid for a call.
    private Decision refuse(View view, double waitMillis, long nowMillis) {
        double part = part(view, nowMillis);
        double placeMillis = part <= 0 ? durations.meanMillis() : durations.meanMillis() / part;
        double spread = random.nextDouble() * (waitMillis + placeMillis);
        long retryAfterMillis = Math.round(waitMillis + spread);
        return new Decision(Action.REFUSE, Optional.empty(), waitMillis, retryAfterMillis, part, demand(nowMillis));
    }
}
