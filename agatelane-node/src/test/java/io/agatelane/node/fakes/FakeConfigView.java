package io.agatelane.node.fakes;

import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.node.api.ConfigView;
import io.agatelane.node.api.Subscription;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A configuration whose snapshot a test sets directly. */
public final class FakeConfigView implements ConfigView {
    private final List<Consumer<ConfigSnapshot>> listeners = new ArrayList<>();
    private volatile ConfigSnapshot snapshot = ConfigSnapshot.empty();

    /** Replaces the snapshot and notifies the listeners. */
    public void set(ConfigSnapshot newSnapshot) {
        snapshot = newSnapshot;
        List.copyOf(listeners).forEach(listener -> listener.accept(newSnapshot));
    }

    @Override
    public ConfigSnapshot current() {
        return snapshot;
    }

    @Override
    public Subscription onChange(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    @Override
    public void revisionAnnounced(String vmName, long revision) {
        // The test sets the configuration directly, so there is nothing to fetch.
    }
}
