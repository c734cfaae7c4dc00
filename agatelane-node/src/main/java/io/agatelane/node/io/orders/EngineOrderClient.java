package io.agatelane.node.io.orders;

import io.agatelane.core.model.Upstream;
import io.agatelane.core.orders.DesiredState;
import io.agatelane.core.orders.EngineState;
import io.agatelane.core.orders.SendOutcome;
import java.util.concurrent.CompletableFuture;

/** Orders on the engine's side. */
interface EngineOrders extends AutoCloseable {
    /** Reads the state of an engine; fails with {@code UPSTREAM_FAILED} or {@code UPSTREAM_TIMEOUT}. */
    CompletableFuture<EngineState> read(Upstream engine);

    /** Sends an order; completes normally whatever the outcome. */
    CompletableFuture<SendOutcome> send(Upstream engine, long fencingNumber, DesiredState desired);

    @Override
    void close();
}
