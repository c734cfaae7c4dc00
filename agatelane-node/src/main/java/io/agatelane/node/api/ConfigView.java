package io.agatelane.node.api;

import io.agatelane.core.model.ConfigSnapshot;
import java.util.function.Consumer;

/** The configuration in force on this router. */
public interface ConfigView {
    /** Returns the newest snapshot. May be called on any thread. */
    ConfigSnapshot current();

    /** Calls the listener on the control thread after each change. */
    Subscription onChange(Consumer<ConfigSnapshot> listener);

    /** Reports the revision that a peer has in force; a newer one is fetched from that peer. */
    void revisionAnnounced(String vmName, long revision);
}
