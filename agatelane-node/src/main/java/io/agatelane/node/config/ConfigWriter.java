package io.agatelane.node.config;

import com.codahale.metrics.Counter;
import io.agatelane.core.config.Change;
import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.Head;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.command.ChangePlan;
import io.agatelane.core.config.command.ChangePlanner;
import io.agatelane.core.config.command.ChangeRequest;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.store.ConfigShard;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Commits changes: writes the changed shard under a new key, then moves the head by compare-and-swap.
 *
 * <p>All methods run on the control thread. The changes of this router are committed one after another, so that they do
 * not conflict with each other.
 */
final class ConfigWriter {
    private static final EventLog LOG = EventLog.of(ConfigWriter.class);
    private static final int MAX_ATTEMPTS = 100;
    private static final long MAX_CHANGE_MILLIS = 10_000;
    private static final int INITIAL_BACKOFF_MILLIS = 16;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final NodeContext context;
    private final KeyValueStore store;
    private final MembershipView membership;
    private final ConfigReader reader;
    private final UniformRandomProvider random;
    private final Counter acceptedChanges;
    private final Counter refusedChanges;
    private CompletableFuture<Long> previousChange = CompletableFuture.completedFuture(0L);

    ConfigWriter(
            NodeContext context,
            KeyValueStore store,
            MembershipView membership,
            ConfigReader reader,
            UniformRandomProvider random) {
        this.context = context;
        this.store = store;
        this.membership = membership;
        this.reader = reader;
        this.random = random;
        this.acceptedChanges = context.metrics().counter("config.changes_accepted");
        this.refusedChanges = context.metrics().counter("config.changes_refused");
    }

    /** Commits a change and returns its revision. */
    CompletableFuture<Long> change(Edit edit) {
        CompletableFuture<Long> result = Futures.compose(
                previousChange, context.control(), (unused, failure) -> new CommitRetries(edit).tryCommit());
        previousChange = result;
        Futures.whenDone(
                result, Runnable::run, (revision, failure) -> (failure == null ? acceptedChanges : refusedChanges)
                        .inc());
        return result;
    }

    /** Computes a change from the current state, because a change may depend on the current value of the object. */
    interface Edit extends Function<ConfigState, EvaluatedEdit> {}

    /**
     * A change as computed from one state.
     *
     * @param object the new object; null to delete it
     */
    record EvaluatedEdit(ChangeRequest request, ConfigObject object) {}

    private final class CommitRetries {
        private final Edit edit;
        private final long startMillis;
        private int attempts;
        // Set once a write of the head may have taken effect although no response arrived.
        private boolean outcomeUnknown;
        private String lastFailureReason = "";

        private CommitRetries(Edit edit) {
            this.edit = edit;
            this.startMillis = context.timers().monotonicMillis();
        }

        private CompletableFuture<Long> tryCommit() {
            if (attempts++ >= MAX_ATTEMPTS || context.timers().monotonicMillis() - startMillis > MAX_CHANGE_MILLIS) {
                return CompletableFuture.failedFuture(retriesExhausted());
            }
            CompletableFuture<KeyValue> head = reader.readFromPlatform();
            return thenOrElse(head, this::commitOnto, this::readFailed);
        }

        private CompletableFuture<Long> readFailed(AgatelaneException failure) {
            // HeadRepair replaces a regressed head, which takes a few calls to the platform.
            if (outcomeUnknown || failure.type() == FailureType.CONFIG_REGRESSED) {
                lastFailureReason = failure.getMessage();
                return retryLater();
            }
            return CompletableFuture.failedFuture(failure);
        }

        private CompletableFuture<Long> commitOnto(KeyValue headValue) {
            LoadedConfig base = reader.loaded();
            // The reader may have advanced past this head in the meantime; the swap would then fail anyway.
            Head read = headValue.value().length == 0 ? Head.empty() : StoreCodec.decodeHead(headValue.value());
            if (read.revision() != base.revision()) {
                return tryCommit();
            }
            Optional<Member> ahead = findMemberAhead(base.revision());
            if (ahead.isPresent()) {
                return catchUp(ahead.get());
            }
            ChangePlan plan;
            EvaluatedEdit evaluated;
            try {
                evaluated = edit.apply(base.state());
                plan = ChangePlanner.plan(base.state(), evaluated.request(), random.nextInt());
            } catch (AgatelaneException e) {
                return CompletableFuture.failedFuture(e);
            }
            if (plan.repeat()) {
                return CompletableFuture.completedFuture(plan.change().revision());
            }
            int index = plan.shard().index();
            ConfigObject stored = evaluated.object() == null
                    ? null
                    : evaluated.object().toBuilder()
                            .setVersion(plan.change().revision())
                            .build();
            ConfigShard shard = StoreCodec.replaceObject(
                    base.messages().get(index),
                    plan.shard().version(),
                    plan.change().key(),
                    stored);
            return writeShard(plan, shard, headValue);
        }

        // A router with a newer revision than the platform's head shows that the platform was restored to an older
        // state. A change on top of that head would undo accepted changes, so this router first fetches the newer
        // state.
        private CompletableFuture<Long> catchUp(Member ahead) {
            lastFailureReason = "router " + ahead.name() + " has revision " + ahead.configRevision()
                    + " in force, which the platform does not hold";
            return thenOrElse(reader.fetchFromPeer(ahead.name()), unused -> retryLater(), failure -> retryLater());
        }

        private CompletableFuture<Long> writeShard(ChangePlan plan, ConfigShard shard, KeyValue headValue) {
            byte[] bytes = shard.toByteArray();
            if (bytes.length > ShardLayout.MAX_SHARD_BYTES) {
                return CompletableFuture.failedFuture(new AgatelaneException(
                                FailureType.INVALID_OBJECT,
                                plan.change().key() + " is too large: its shard would have " + bytes.length
                                        + " bytes, expected at most " + ShardLayout.MAX_SHARD_BYTES)
                        .withLocation("/object"));
            }
            String key = ShardLayout.shardKey(shard.getIndex(), shard.getVersion());
            return thenOrElse(
                    store.compareAndSet(key, 0, bytes),
                    unused -> writeHead(plan, shard, bytes, headValue),
                    failure -> switch (failure.type()) {
                            // Another writer has used this key; the next attempt chooses another one.
                        case SWAP_LOST -> retryLater();
                        case WRITE_OUTCOME_UNKNOWN -> thenOrElse(
                                store.get(key),
                                found -> found.isPresent()
                                                && Arrays.equals(found.get().value(), bytes)
                                        ? writeHead(plan, shard, bytes, headValue)
                                        : retryLater(),
                                readFailure -> outcomeUnknown ? retryLater() : notCommitted(failure));
                        default -> outcomeUnknown ? retryLater() : notCommitted(failure);
                    });
        }

        private CompletableFuture<Long> writeHead(
                ChangePlan plan, ConfigShard shard, byte[] shardBytes, KeyValue headValue) {
            Head head = plan.head(ShardLayout.checksum(shardBytes));
            byte[] bytes = StoreCodec.encode(head).toByteArray();
            return thenOrElse(
                    store.compareAndSet(ShardLayout.HEAD_KEY, headValue.revision(), bytes),
                    unused -> {
                        recordAccepted(plan, shard, head);
                        return CompletableFuture.completedFuture(plan.change().revision());
                    },
                    failure -> switch (failure.type()) {
                        case SWAP_LOST -> {
                            lastFailureReason = "other changes were committed first";
                            yield retryLater();
                        }
                        case WRITE_OUTCOME_UNKNOWN -> {
                            // The next attempt finds the change in the head, or competes with the write that is still
                            // in flight.
                            outcomeUnknown = true;
                            yield retryLater();
                        }
                        default -> outcomeUnknown ? retryLater() : notCommitted(failure);
                    });
        }

        private void recordAccepted(ChangePlan plan, ConfigShard shard, Head head) {
            Change change = plan.change();
            LOG.event("config_change_accepted")
                    .with("revision", change.revision())
                    .with("object", change.key())
                    .with("change_id", change.id())
                    .with("attempts", attempts)
                    .info();
            if (reader.loaded().state() == plan.base()) {
                reader.adoptCommitted(plan.base().advance(head, List.of(plan.shard())), shard);
            }
        }

        private CompletableFuture<Long> retryLater() {
            CompletableFuture<Long> result = new CompletableFuture<>();
            int bound = INITIAL_BACKOFF_MILLIS << Math.min(MAX_BACKOFF_DOUBLINGS, attempts / 4);
            context.timers().after(1 + random.nextInt(bound), () -> Futures.forward(tryCommit(), result));
            return result;
        }

        // A shard has no effect until the head refers to it, so the change was certainly not accepted.
        private CompletableFuture<Long> notCommitted(AgatelaneException failure) {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, failure.getMessage(), failure)
                            .withLocation(failure.location()));
        }

        private AgatelaneException retriesExhausted() {
            if (outcomeUnknown) {
                return new AgatelaneException(
                                FailureType.WRITE_OUTCOME_UNKNOWN,
                                "the platform did not confirm the change; repeat it with the same change identity")
                        .withLocation(ShardLayout.HEAD_KEY);
            }
            return new AgatelaneException(
                            FailureType.PLATFORM_UNAVAILABLE,
                            "the change was not accepted after " + (attempts - 1) + " attempts: " + lastFailureReason)
                    .withLocation(ShardLayout.HEAD_KEY);
        }

        private Optional<Member> findMemberAhead(long revision) {
            return membership.liveMembers().stream()
                    .filter(member -> !member.name().equals(context.settings().vmName()))
                    .filter(member -> member.configRevision() > revision)
                    .findFirst();
        }

        private <T> CompletableFuture<Long> thenOrElse(
                CompletableFuture<T> step,
                Function<T, CompletableFuture<Long>> success,
                Function<AgatelaneException, CompletableFuture<Long>> failure) {
            return Futures.compose(
                    step,
                    context.control(),
                    (value, thrown) -> thrown == null ? success.apply(value) : failure.apply(thrown));
        }
    }
}
