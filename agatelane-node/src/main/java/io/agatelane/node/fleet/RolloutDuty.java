package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.ConfigProof;
import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Holds the duty to roll out weights by a leased key. Runs on the control thread.
 *
 * <p>The revision of the write that took the key is the fencing token of all orders of that term. The lease lives longer
 * than the time that has to pass between the orders of two holders, and a holder whose last renewal is older than that
 * time gives no orders, so the terms of two holders are apart also where upstreams do not check the token.
 */
public final class RolloutDuty {
    private static final EventLog LOG = EventLog.of(RolloutDuty.class);
    private static final long RENEW_MILLIS = 1_000;
    private static final RolloutRecord NOTHING = new RolloutRecord("", Set.of(), Map.of());

    private final ConditionalStore store;
    private final TimerService timers;
    private final Executor control;
    private final String vmName;
    private final long leaseMillis;
    private final boolean upstreamsCheckFencing;
    private Optional<Term> term = Optional.empty();
    private boolean busy;

    /** Creates a duty that is not held. */
    public RolloutDuty(
            ConditionalStore store,
            TimerService timers,
            Executor control,
            String vmName,
            long leaseMillis,
            boolean upstreamsCheckFencing) {
        this.store = store;
        this.timers = timers;
        this.control = control;
        this.vmName = vmName;
        this.leaseMillis = leaseMillis;
        this.upstreamsCheckFencing = upstreamsCheckFencing;
    }

    private static final class Term {
        private final long leaseId;
        private final long fencingToken;
        private long revision;
        private ConfigProof renewed;
        private RolloutRecord written;

        private Term(long leaseId, long fencingToken, ConfigProof renewed, RolloutRecord written) {
            this.leaseId = leaseId;
            this.fencingToken = fencingToken;
            this.revision = fencingToken;
            this.renewed = renewed;
            this.written = written;
        }
    }

    /** Whether this router may give orders now. */
    public boolean isHeld() {
        return term.isPresent()
                && term.get().renewed.ageMillis(timers.monotonicMillis(), timers.epochMillis()) < leaseMillis;
    }

    /** Fencing token of the orders of this term. */
    public long fencingToken() {
        return term.map(held -> held.fencingToken).orElse(0L);
    }

    /** The record that the other routers can read; empty while a write is under way. */
    public Optional<RolloutRecord> published() {
        return term.filter(held -> !busy).map(held -> held.written);
    }

    /** Takes the duty when nobody holds it. */
    public void tryTake() {
        if (busy || term.isPresent()) {
            return;
        }
        busy = true;
        ConfigProof asked = now();
        Futures.whenDone(store.grantLease(leaseMillis + RENEW_MILLIS), control, (leaseId, failure) -> {
            if (failure != null) {
                busy = false;
                LOG.event("rollout_duty_not_taken")
                        .with("reason", failure.getMessage())
                        .info();
            } else {
                takeKey(leaseId, asked);
            }
        });
    }

    private void takeKey(long leaseId, ConfigProof asked) {
        RolloutRecord record = new RolloutRecord(vmName, Set.of(), Map.of());
        Futures.whenDone(
                store.compareAndSet(RolloutRecord.KEY, 0, record.encode(), leaseId), control, (revision, failure) -> {
                    busy = false;
                    if (failure != null) {
                        LOG.event("rollout_duty_not_taken")
                                .with("reason", failure.getMessage())
                                .info();
                        release(leaseId);
                        return;
                    }
                    term = Optional.of(new Term(leaseId, revision, asked, record));
                    LOG.event("rollout_duty_taken")
                            .with("fencing_token", revision)
                            .with("lease", leaseId)
                            .info();
                    timers.after(RENEW_MILLIS, this::renew);
                });
    }

    // Also ends a write that was carried out without an answer: its key goes with the lease.
    private void release(long leaseId) {
        Futures.whenDone(store.revokeLease(leaseId), control, (done, failure) -> {
            if (failure != null) {
                LOG.event("lease_not_ended")
                        .with("lease", leaseId)
                        .with("action", "lapses")
                        .with("reason", failure.getMessage())
                        .info();
            }
        });
    }

    private void renew() {
        if (term.isEmpty()) {
            return;
        }
        Term held = term.get();
        ConfigProof asked = now();
        Futures.whenDone(store.renewLease(held.leaseId), control, (leftMillis, failure) -> {
            if (term.isEmpty() || term.get() != held) {
                return;
            }
            if (failure == null && leftMillis == 0) {
                stepDown("lease_ended");
                return;
            }
            if (failure == null) {
                held.renewed = asked;
            } else if (!isHeld()) {
                stepDown("lease_not_renewed");
                return;
            }
            timers.after(RENEW_MILLIS, this::renew);
        });
    }

    /** Publishes a record. The write is repeated by the next call when it failed. */
    public void publish(RolloutRecord record) {
        if (busy || !isHeld() || term.get().written.equals(record)) {
            return;
        }
        Term held = term.get();
        busy = true;
        Futures.whenDone(
                store.compareAndSet(RolloutRecord.KEY, held.revision, record.encode(), held.leaseId),
                control,
                (revision, failure) -> {
                    busy = false;
                    if (failure == null) {
                        held.revision = revision;
                        held.written = record;
                    } else if (failure.type() == FailureType.SWAP_LOST
                            || failure.type() == FailureType.WRITE_OUTCOME_UNKNOWN) {
                        readBack(held, failure);
                    }
                });
    }

    // A write without an answer may have been carried out; the key then has a newer revision and still this holder.
    private void readBack(Term held, AgatelaneException cause) {
        busy = true;
        Futures.whenDone(store.get(RolloutRecord.KEY), control, (item, failure) -> {
            busy = false;
            if (failure != null || term.isEmpty() || term.get() != held) {
                return;
            }
            if (item.isEmpty() || !isOwn(item.get())) {
                stepDown("key_lost: " + cause.getMessage());
                return;
            }
            held.revision = item.get().revision();
            held.written = decode(item.get());
        });
    }

    private boolean isOwn(KeyValue item) {
        return decode(item).holder().equals(vmName);
    }

    private static RolloutRecord decode(KeyValue item) {
        try {
            return RolloutRecord.decode(item.value());
        } catch (AgatelaneException e) {
            LOG.event("rollout_record_unreadable")
                    .with("reason", e.getMessage())
                    .with("action", "ignored")
                    .warning();
            return NOTHING;
        }
    }

    /**
     * Gives the duty up at the end of the process.
     *
     * <p>Where upstreams refuse the orders of an earlier holder the next one may start at once, so the lease is ended.
     * Elsewhere it lapses, which keeps the orders of both apart.
     */
    public CompletableFuture<Void> handOver() {
        Optional<Term> last = term;
        stepDown("shutdown");
        return last.isPresent() && upstreamsCheckFencing
                ? store.revokeLease(last.get().leaseId)
                : CompletableFuture.completedFuture(null);
    }

    /** Gives the duty up; the key goes when the lease lapses, so that the next holder starts well after this one. */
    public void stepDown(String reason) {
        if (term.isPresent()) {
            LOG.event("rollout_duty_left")
                    .with("reason", reason)
                    .with("fencing_token", term.get().fencingToken)
                    .warning();
        }
        term = Optional.empty();
    }

    private ConfigProof now() {
        return new ConfigProof(timers.monotonicMillis(), timers.epochMillis());
    }
}
