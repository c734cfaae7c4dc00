package io.agatelane.node.api;

import io.agatelane.wire.peer.AccountUsage;
import io.agatelane.wire.peer.Quarantine;
import io.agatelane.wire.peer.UpstreamDigest;
import java.util.function.Consumer;

/** Exchanges small hints by gossip. Hints may be lost, late or repeated, so correctness must not depend on them. */
public interface GossipHintExchange {
    /** Sends to the routers of this availability zone. */
    void publish(UpstreamDigest digest);

    /** Sends to all routers. */
    void publish(Quarantine quarantine);

    /** Sends to the routers of this region. */
    void publish(AccountUsage usage);

    void onUpstreamDigest(Consumer<UpstreamDigest> listener);

    void onQuarantine(Consumer<Quarantine> listener);

    void onAccountUsage(Consumer<AccountUsage> listener);
}
