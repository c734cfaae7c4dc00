package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.StoreEra;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.control.Watchdog;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * The leadership of the weights roll-out: a leased key in the store. Runs on the control thread.
 *
 * <p>The revision of the write that acquired the key is the fencing token of all orders of that term. The lease lives
 * longer than the time that has to pass between the orders of two holders, and a holder whose last renewal is older
 * than that time gives no orders, so the terms of two holders do not overlap even where upstreams do not check the
 * token. The revision is qualified with the era of the store, so that the tokens of a later era are larger although the
 * store gives its revisions out again.
 *
 * <p>When the store goes back to an older copy, the lease of a term may be gone and its key free while the holder still
 * gives orders, so the term ends there. Another router begins a term only after the time for which an unnoticed lease
 * could have lasted.
 */
public final class RolloutLeadership {
    private static final EventLog LOG = EventLog.of(RolloutLeadership.class);
    private static final long RENEW_MILLIS = 1_000;
    // Longer than two calls to the store, after which no response can come any more.
    private static final long MAX_SILENT_MILLIS = 10_000;

    private final ConditionalStore store;
    private final TimerService timers;
    private final Executor control;
    private final String vmName;
    private final long leaseMillis;
    private final boolean upstreamsCheckFencing;
    private Optional<Term> term = Optional.empty();
    private boolean requestInFlight;
    private long era;
    private long acquireNotBeforeMillis;
    private boolean mayHaveLeftover;
    private Watchdog.Heartbeat heartbeat = Watchdog.Heartbeat.NONE;

    /** Creates a leadership that is not held. */
    public RolloutLeadership(
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
        private ClockReading renewedAt;
        private RolloutRecord publishedRecord;

        private Term(long leaseId, long fencingToken, ClockReading renewedAt, RolloutRecord publishedRecord) {
            this.leaseId = leaseId;
            this.fencingToken = fencingToken;
            this.revision = fencingToken;
            this.renewedAt = renewedAt;
            this.publishedRecord = publishedRecord;
        }
    }

    /** Lets a watchdog end a call to the store that never returned, which would keep this router out of all terms. */
    void watch(Watchdog watchdog) {
        heartbeat = watchdog.watch("rollout-leadership", MAX_SILENT_MILLIS, () -> {
            requestInFlight = false;
            stepDown("call_unreported");
        });
    }

    /** Whether this router may give orders now. Must be called periodically. */
    public boolean isHeld() {
        noticeEra();
        if (!requestInFlight) {
            heartbeat.beat();
        }
        if (term.isPresent() && !isLeaseCertain()) {
            stepDown("lease_not_renewed");
        }
        return term.isPresent();
    }

    private boolean isLeaseCertain() {
        return term.isPresent()
                && term.get().renewedAt.ageMillis(timers.monotonicMillis(), timers.epochMillis()) < leaseMillis;
    }

    private void noticeEra() {
        long newest = store.era();
        if (newest <= era) {
            return;
        }
        // Up to now this router was the only holder, so it need not wait for the end of another one's term.
        boolean wasHolder = isLeaseCertain();
        acquireNotBeforeMillis = timers.monotonicMillis() + (wasHolder ? 0 : leaseMillis + RENEW_MILLIS);
        mayHaveLeftover |= term.isPresent() || requestInFlight;
        era = newest;
        stepDown("store_went_back");
    }

    /** Fencing token of the orders of this term; 0 while this router is not the holder. */
    public long fencingToken() {
        return term.map(held -> held.fencingToken).orElse(0L);
    }

    /** The record that the other routers can read; empty while a write is in flight. */
    public Optional<RolloutRecord> published() {
        return term.filter(held -> !requestInFlight).map(held -> held.publishedRecord);
    }

    /** Tries to acquire the leadership, which succeeds only when no router holds it. */
    public void tryAcquire() {
        noticeEra();
        if (requestInFlight || term.isPresent() || timers.monotonicMillis() < acquireNotBeforeMillis) {
            return;
        }
        requestInFlight = true;
        ClockReading requestedAt = timers.now();
        Futures.whenDone(store.grantLease(leaseMillis + RENEW_MILLIS), control, (leaseId, failure) -> {
            if (failure != null) {
                requestInFlight = false;
                LOG.event("rollout_duty_not_taken")
                        .with("reason", failure.getMessage())
                        .info();
            } else {
                acquireKey(leaseId, requestedAt);
            }
        });
    }

    private void acquireKey(long leaseId, ClockReading requestedAt) {
        RolloutRecord record = RolloutRecord.NONE.withHolder(vmName);
        Futures.whenDone(
                store.compareAndSet(RolloutRecord.KEY, 0, record.encode(), leaseId), control, (revision, failure) -> {
                    noticeEra();
                    requestInFlight = false;
                    if (failure != null || StoreEra.of(revision) < era) {
                        LOG.event("rollout_duty_not_taken")
                                .with("reason", failure == null ? "store_went_back" : failure.getMessage())
                                .info();
                        revokeLease(leaseId);
                        return;
                    }
                    mayHaveLeftover = false;
                    term = Optional.of(new Term(leaseId, revision, requestedAt, record));
                    LOG.event("rollout_duty_taken")
                            .with("fencing_token", revision)
                            .with("lease", leaseId)
                            .info();
                    timers.after(RENEW_MILLIS, this::renew);
                });
    }

    // Also undoes a write that was carried out although its response was lost: its key is deleted with the lease.
    private void revokeLease(long leaseId) {
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
        ClockReading requestedAt = timers.now();
        Futures.whenDone(store.renewLease(held.leaseId), control, (leftMillis, failure) -> {
            if (term.isEmpty() || term.get() != held) {
                return;
            }
            noticeEra();
            if (term.isEmpty()) {
                return;
            }
            if (failure == null && leftMillis == 0) {
                stepDown("lease_ended");
                return;
            }
            if (failure == null) {
                held.renewedAt = requestedAt;
            } else if (!isHeld()) {
                return;
            }
            timers.after(RENEW_MILLIS, this::renew);
        });
    }

    /** Writes a record for the other routers to the store. The next call retries a failed write. */
    public void publish(RolloutRecord record) {
        if (requestInFlight || !isHeld() || term.get().publishedRecord.equals(record)) {
            return;
        }
        Term held = term.get();
        requestInFlight = true;
        Futures.whenDone(
                store.compareAndSet(RolloutRecord.KEY, held.revision, record.encode(), held.leaseId),
                control,
                (revision, failure) -> {
                    noticeEra();
                    requestInFlight = false;
                    if (failure == null) {
                        held.revision = revision;
                        held.publishedRecord = record;
                    } else if (failure.type() == FailureType.SWAP_LOST
                            || failure.type() == FailureType.WRITE_OUTCOME_UNKNOWN) {
                        readBack(held, failure);
                    }
                });
    }

    // A write whose response was lost may have been carried out; the key then has a newer revision and this holder.
    private void readBack(Term held, AgatelaneException cause) {
        requestInFlight = true;
        Futures.whenDone(store.get(RolloutRecord.KEY), control, (item, failure) -> {
            noticeEra();
            requestInFlight = false;
            if (failure != null || term.isEmpty() || term.get() != held) {
                return;
            }
            if (item.isEmpty() || !isOwn(item.get())) {
                stepDown("key_lost: " + cause.getMessage());
                return;
            }
            held.revision = item.get().revision();
            held.publishedRecord = decode(item.get());
        });
    }

    /**
     * Deletes the record of this router's last term from the store, if the store has it again after it went back. Its
     * lease may belong to another router there, which would keep the key for ever.
     */
    void removeLeftover(KeyValue item) {
        noticeEra();
        boolean isLeftover =
                mayHaveLeftover && term.isEmpty() && StoreEra.isValidIn(item.revision(), era) && isOwn(item);
        if (requestInFlight || !isLeftover) {
            return;
        }
        requestInFlight = true;
        Futures.whenDone(store.compareAndDelete(RolloutRecord.KEY, item.revision()), control, (done, failure) -> {
            requestInFlight = false;
            LOG.event("rollout_record_removed")
                    .with("revision", StoreEra.number(item.revision()))
                    .with("outcome", failure == null ? "done" : failure.getMessage())
                    .info();
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
            return RolloutRecord.NONE;
        }
    }

    /**
     * Gives up the leadership at the end of the process.
     *
     * <p>Where upstreams refuse the orders of an earlier holder the next one may start at once, so the lease is
     * revoked. Elsewhere it expires, which keeps the orders of both holders apart in time.
     */
    public CompletableFuture<Void> handOver() {
        Optional<Term> last = term;
        stepDown("shutdown");
        return last.isPresent() && upstreamsCheckFencing
                ? store.revokeLease(last.get().leaseId)
                : CompletableFuture.completedFuture(null);
    }

    /** Gives up the leadership. The key stays until the lease expires, so the next holder starts well after. */
    public void stepDown(String reason) {
        if (term.isPresent()) {
            LOG.event("rollout_duty_left")
                    .with("reason", reason)
                    .with("fencing_token", term.get().fencingToken)
                    .warning();
        }
        term = Optional.empty();
    }
}
