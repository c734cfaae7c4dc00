package io.agatelane.node.api;

import java.util.function.Consumer;

/** The platform's key-value service with watches. */
public interface KeyValueStore extends ConditionalStore {
    /**
     * Reports each write to a key, from now on, until cancelled. The implementation reconnects by itself and reports
     * the current value again after a reconnect, so that no write is missed for good.
     */
    Subscription watch(String key, Consumer<KeyValue> listener);

    /** Whether the last calls got answers. */
    boolean reachable();
}
