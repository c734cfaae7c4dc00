package io.agatelane.core.config.command;

import io.agatelane.core.config.Change;
import io.agatelane.core.config.ConfigState;
import io.agatelane.core.config.ConflictException;
import io.agatelane.core.config.Shard;
import io.agatelane.core.config.ShardLayout;
import io.agatelane.core.config.StoredObject;
import io.agatelane.core.config.query.ObjectValidator;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import java.util.Optional;

/** Validates a change of the configuration and determines what it writes. */
public final class ChangePlanner {
    private static final int MAX_ID_LENGTH = 128;

    private ChangePlanner() {}

    /**
     * Plans a change that is based on a state.
     *
     * @param salt differs between attempts to write, see {@link ShardLayout#versionFor}
     * @throws ConflictException when the expected version is not the current one
     * @throws AgatelaneException with {@code INVALID_OBJECT} when the change or its value is not valid, and with
     *     {@code NOT_FOUND} when the object to delete does not exist
     */
    public static ChangePlan plan(ConfigState state, ChangeRequest request, long salt) {
        checkId(request.id());
        Optional<Change> earlier = state.head().change(request.id());
        if (earlier.isPresent()) {
            return repeat(state, request, earlier.get());
        }
        Optional<StoredObject> current = state.find(request.key());
        long actualVersion = current.map(StoredObject::version).orElse(0L);
        if (request.expectedVersion() != ChangeRequest.ANY_VERSION && request.expectedVersion() != actualVersion) {
            throw new ConflictException(request.key(), request.expectedVersion(), actualVersion);
        }
        if (request.value().isPresent()) {
            ObjectValidator.validate(state, request.key(), request.value().get());
        } else {
            if (current.isEmpty()) {
                throw new AgatelaneException(FailureType.NOT_FOUND, request.key() + " does not exist");
            }
            ObjectValidator.validateDeletion(state, request.key());
        }
        long revision = state.revision() + 1;
        Shard oldShard = state.shard(ShardLayout.shardOf(request.key()));
        long version = ShardLayout.versionFor(revision, salt);
        Shard newShard = request.value()
                .map(value -> oldShard.with(new StoredObject(request.key(), revision, value), version))
                .orElseGet(() -> oldShard.without(request.key(), version));
        return new ChangePlan(state, new Change(request.id(), revision, request.key()), newShard, false);
    }

    private static void checkId(String id) {
        if (id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            throw new AgatelaneException(
                            FailureType.INVALID_OBJECT, "expected a change identity of 1 to 128 characters")
                    .withLocation("/change_id");
        }
    }

    private static ChangePlan repeat(ConfigState state, ChangeRequest request, Change earlier) {
        if (!earlier.key().equals(request.key())) {
            throw new AgatelaneException(
                            FailureType.INVALID_OBJECT,
                            "the change identity was already used for " + earlier.key() + " at revision "
                                    + earlier.revision())
                    .withLocation("/change_id");
        }
        Shard shard = state.shard(ShardLayout.shardOf(request.key()));
        return new ChangePlan(state, earlier, shard, true);
    }
}
