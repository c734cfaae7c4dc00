package io.agatelane.node.io.gossip;

import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.membership.MemberRecord;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.peer.MemberUpdate;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Reads and writes the platform's list of routers under {@code members/}. Failures are only logged. */
final class MemberKeys {
    static final String PREFIX = "members/";
    private static final EventLog LOG = EventLog.of(MemberKeys.class);

    private final KeyValueStore store;

    MemberKeys(KeyValueStore store) {
        this.store = store;
    }

    /** Writes the entry of a router and replaces the one of its previous start. */
    void write(MemberRecord member) {
        String key = PREFIX + member.name();
        byte[] value = GossipCodec.toUpdate(member).toByteArray();
        var unused = store.get(key)
                .thenCompose(old ->
                        store.compareAndSet(key, old.map(KeyValue::revision).orElse(0L), value))
                .whenComplete((revision, failure) -> logFailure("member_key_write_failed", key, failure));
    }

    /** Reads all entries. Malformed ones are logged and left out; after a failed read the consumer is not called. */
    void read(Consumer<List<MemberRecord>> consumer) {
        var unused = store.list(PREFIX).whenComplete((values, failure) -> {
            logFailure("member_list_read_failed", PREFIX, failure);
            if (failure == null) {
                List<MemberRecord> members = new ArrayList<>(values.size());
                values.forEach(value -> parse(value).ifPresent(members::add));
                consumer.accept(members);
            }
        });
    }

    /** Deletes the entry of a dead router unless a later incarnation has replaced it. */
    void delete(MemberRecord dead) {
        String key = PREFIX + dead.name();
        var unused = store.get(key)
                .thenCompose(found -> {
                    boolean stale = found.flatMap(MemberKeys::parse)
                            .map(entry -> entry.incarnation() <= dead.incarnation())
                            .orElse(false);
                    return stale
                            ? store.compareAndDelete(key, found.get().revision())
                            : CompletableFuture.<Void>completedFuture(null);
                })
                .whenComplete((done, failure) -> logFailure("member_key_delete_failed", key, failure));
    }

    private static Optional<MemberRecord> parse(KeyValue value) {
        try {
            return Optional.of(GossipCodec.toRecord(MemberUpdate.parseFrom(value.value())));
        } catch (InvalidProtocolBufferException | AgatelaneException e) {
            LOG.event("member_key_malformed")
                    .with("key", value.key())
                    .with("detail", e.getMessage())
                    .warning();
            return Optional.empty();
        }
    }

    private static void logFailure(String event, String key, Throwable failure) {
        if (failure != null) {
            AgatelaneException typed = AgatelaneException.from(failure);
            LOG.event(event)
                    .with("key", key)
                    .with("failure", typed.type().code())
                    .with("detail", typed.getMessage())
                    .warning();
        }
    }
}
