package io.agatelane.node.api;

import java.util.function.Consumer;

/** The platform's key-value service with watches. */
public interface KeyValueStore extends ConditionalStore {
    /**
     * Reports each later write to a key until cancelled. The implementation reconnects by itself and then reports the
     * current value again, so that the newest write is always reported.
     */
    Subscription watch(String key, Consumer<KeyValue> listener);

    /** Returns whether the latest calls received responses. */
    boolean reachable();
}
