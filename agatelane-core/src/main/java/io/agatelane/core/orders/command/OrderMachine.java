package io.agatelane.core.orders.command;

import io.agatelane.core.orders.DesiredState;
import io.agatelane.core.orders.EngineState;
import io.agatelane.core.orders.OrderRecord;
import io.agatelane.core.orders.OrderStep;
import io.agatelane.core.orders.OrderTiming;
import io.agatelane.core.orders.SendOutcome;
import java.util.Optional;

/**
 * State machine that brings one engine into its desired state. The caller requests the next step, performs it and
 * reports the result; all times are monotonic milliseconds. Two rules keep a delayed sender from undoing a newer order.
 * An engine that checks fencing numbers receives the revision of the order key, which grows with each write. To any
 * other engine an order is sent only while the remaining lease is longer than the longest order, and a new holder of
 * the lease waits until every order of the previous holder must have taken effect. Not thread-safe.
 */
public final class OrderMachine {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String upstream;
    private final String vmName;
    private final long incarnation;
    private final OrderTiming timing;

    private Optional<DesiredState> desired = Optional.empty();
    private long configRevision;
    private boolean checksFencing;

    private EngineState engine;
    private long engineReadMillis = NEVER;
    private Optional<OrderRecord> orderRecord = Optional.empty();
    private long keyRevision;
    private long keyReadMillis = NEVER;
    private long keySinceMillis = NEVER;
    private boolean confirmed;
    private boolean leaseHeld;
    private long leaseSinceMillis = NEVER;
    private long leaseUntilMillis = NEVER;
    private boolean slotHeld;
    private long slotSinceMillis = NEVER;
    private long orderEndsMillis = NEVER;
    private long notBeforeMillis = NEVER;
    private int failures;

    public OrderMachine(String upstream, String vmName, long incarnation, OrderTiming timing) {
        this.upstream = upstream;
        this.vmName = vmName;
        this.incarnation = incarnation;
        this.timing = timing;
    }

    /**
     * Sets the desired state of the engine; empty when this router does not send the engine's orders.
     *
     * @param revision revision of the configuration that requires the state
     */
    public void setDesired(Optional<DesiredState> newDesired, long revision, boolean engineChecksFencing) {
        if (!newDesired.equals(desired)) {
            failures = 0;
            notBeforeMillis = NEVER;
            engineReadMillis = NEVER;
        }
        desired = newDesired;
        configRevision = revision;
        checksFencing = engineChecksFencing;
    }

    /** Returns the next step. */
    public OrderStep nextStep(long nowMillis) {
        if (orderMayRun(nowMillis)) {
            return OrderStep.WAIT;
        }
        if (nowMillis < notBeforeMillis) {
            return slotHeld ? OrderStep.RELEASE_SLOT : OrderStep.WAIT;
        }
        if (desired.isEmpty()) {
            return nextReleaseStep();
        }
        if (nowMillis - engineReadMillis >= timing.checkMillis()) {
            return OrderStep.READ_ENGINE;
        }
        DesiredState desiredState = desired.get();
        if (desiredState.isMetBy(engine)) {
            return nextStepWhenReached(desiredState);
        }
        if (!checksFencing) {
            OrderStep step = nextLeaseStep(nowMillis);
            if (step != OrderStep.SEND) {
                return step;
            }
        }
        if (nowMillis - keyReadMillis > timing.maxRetryMillis()) {
            return OrderStep.READ_KEY;
        }
        if (isOwnedByAnother(desiredState, nowMillis)) {
            postpone(timing.retryMillis(), nowMillis);
            return slotHeld ? OrderStep.RELEASE_SLOT : OrderStep.WAIT;
        }
        if (slotHeld && nowMillis - slotSinceMillis >= timing.leaseMillis()) {
            // Other routers may soon treat the slot as abandoned, so a load that starts now could be a third concurrent
            // one.
            return OrderStep.RELEASE_SLOT;
        }
        if (!slotHeld && desiredState.needsWeightLoad(engine)) {
            return OrderStep.TAKE_SLOT;
        }
        if (nowMillis - keyReadMillis > timing.maxKeyAgeMillis()) {
            return OrderStep.READ_KEY;
        }
        return isOwnOrder(desiredState) ? OrderStep.SEND : OrderStep.WRITE_KEY;
    }

    /** Returns whether no slot or lease is held and no order may be running, so that the machine can be dropped. */
    public boolean isIdle(long nowMillis) {
        return !slotHeld && !leaseHeld && !orderMayRun(nowMillis);
    }

    /** Returns the record to write before an order is sent. */
    public OrderRecord recordToWrite() {
        return new OrderRecord(
                upstream, desired.orElseThrow(), configRevision, keyRevision, vmName, incarnation, false);
    }

    /** Returns the record to write once the engine is in the desired state. */
    public OrderRecord recordWhenDone() {
        OrderRecord record = orderRecord.orElseThrow();
        return new OrderRecord(
                upstream, record.desired(), record.configRevision(), keyRevision, vmName, incarnation, true);
    }

    /**
     * Returns the revision of the order key as last read or written. It is the expected revision of the next write and
     * the fencing number of an order.
     */
    public long keyRevision() {
        return keyRevision;
    }

    public Optional<DesiredState> desired() {
        return desired;
    }

    /**
     * Records the state that the engine reported. The time, here and in the methods below, is the start of the call.
     */
    public void engineRead(EngineState state, long nowMillis) {
        engine = state;
        engineReadMillis = nowMillis;
        if (desired.isPresent() && desired.get().isMetBy(state)) {
            failures = 0;
        } else if (confirmed) {
            // The engine confirmed the order but is not in the ordered state; sending it again at once would not help.
            failed(nowMillis);
        }
        confirmed = false;
    }

    /** Records the content of the order key as read. */
    public void keyRead(Optional<OrderRecord> record, long revision, long nowMillis) {
        if (revision != keyRevision) {
            keySinceMillis = nowMillis;
        }
        orderRecord = record;
        keyRevision = revision;
        keyReadMillis = nowMillis;
    }

    /** Records that the order key was written and has a new revision. */
    public void keyWritten(OrderRecord record, long revision, long nowMillis) {
        keyRead(Optional.of(record), revision, nowMillis);
    }

    /** Records that the order key may have changed, because a write was lost or its outcome is unknown. */
    public void keyUncertain() {
        keyReadMillis = NEVER;
        orderRecord = Optional.empty();
    }

    /**
     * Records that the lease is held.
     *
     * @param sinceMillis time at which this router took the key of the lease
     * @param untilMillis end of the lease, measured from the start of the call that granted or renewed it
     */
    public void leaseAcquired(long sinceMillis, long untilMillis) {
        leaseHeld = true;
        leaseSinceMillis = sinceMillis;
        leaseUntilMillis = untilMillis;
    }

    public void leaseLost() {
        leaseHeld = false;
    }

    /** Records that a slot is held; the time is the start of the call that took it. */
    public void slotTaken(long sinceMillis) {
        slotHeld = true;
        slotSinceMillis = sinceMillis;
    }

    public void slotReleased() {
        slotHeld = false;
    }

    /** Records that an order is being sent. */
    public void sendStarted(long nowMillis) {
        orderEndsMillis = nowMillis + timing.longestOrderMillis();
    }

    /** Records the result of sending an order. The engine's state is read again whatever the result. */
    public void sendFinished(SendOutcome outcome, long nowMillis) {
        engineReadMillis = NEVER;
        if (outcome != SendOutcome.UNKNOWN) {
            orderEndsMillis = NEVER;
        }
        confirmed = outcome == SendOutcome.IN_FORCE;
        if (!confirmed) {
            keyUncertain();
            failed(nowMillis);
        }
    }

    /** Delays the next step after a failure, with exponential backoff. */
    public void failed(long nowMillis) {
        long delay = Math.min(timing.maxRetryMillis(), timing.retryMillis() << Math.min(failures, 10));
        failures++;
        notBeforeMillis = nowMillis + delay;
    }

    /** Delays the next step without counting a failure. */
    public void postpone(long millis, long nowMillis) {
        notBeforeMillis = nowMillis + millis;
    }

    private boolean orderMayRun(long nowMillis) {
        return nowMillis < orderEndsMillis;
    }

    private OrderStep nextLeaseStep(long nowMillis) {
        if (!leaseHeld || leaseUntilMillis - nowMillis <= timing.longestOrderMillis()) {
            return OrderStep.TAKE_LEASE;
        }
        long firstOrderMillis = leaseSinceMillis + timing.takeoverMillis();
        if (nowMillis < firstOrderMillis) {
            return OrderStep.WAIT;
        }
        // An order of the previous lease holder may have changed the engine during the wait.
        return engineReadMillis < firstOrderMillis ? OrderStep.READ_ENGINE : OrderStep.SEND;
    }

    private OrderStep nextStepWhenReached(DesiredState desiredState) {
        if (slotHeld) {
            return OrderStep.RELEASE_SLOT;
        }
        if (keyReadMillis != NEVER && isOwnOrder(desiredState)) {
            return OrderStep.MARK_DONE;
        }
        return leaseHeld ? OrderStep.RELEASE_LEASE : OrderStep.WAIT;
    }

    private OrderStep nextReleaseStep() {
        if (slotHeld) {
            return OrderStep.RELEASE_SLOT;
        }
        return leaseHeld ? OrderStep.RELEASE_LEASE : OrderStep.WAIT;
    }

    /**
     * Returns whether another router is responsible for the engine's state: one with a newer configuration, which this
     * router has yet to receive, or one that wrote the same order so recently that it may still be sending it.
     */
    private boolean isOwnedByAnother(DesiredState desiredState, long nowMillis) {
        if (orderRecord.isEmpty()) {
            return false;
        }
        OrderRecord record = orderRecord.get();
        if (record.configRevision() > configRevision) {
            return true;
        }
        return !record.done()
                && !record.holderVm().equals(vmName)
                && record.configRevision() == configRevision
                && record.desired().equals(desiredState)
                && nowMillis - keySinceMillis < timing.takeoverMillis();
    }

    private boolean isOwnOrder(DesiredState desiredState) {
        return orderRecord.isPresent()
                && !orderRecord.get().done()
                && orderRecord.get().desired().equals(desiredState)
                && orderRecord.get().configRevision() == configRevision
                && orderRecord.get().holderVm().equals(vmName)
                && orderRecord.get().holderIncarnation() == incarnation;
    }
}
