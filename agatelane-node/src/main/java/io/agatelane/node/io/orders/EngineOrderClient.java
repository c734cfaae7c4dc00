package io.agatelane.node.io.orders;

import io.agatelane.core.model.Upstream;
import io.agatelane.core.orders.DesiredState;
import io.agatelane.core.orders.EngineState;
import io.agatelane.core.orders.SendOutcome;
import java.util.concurrent.CompletableFuture;

/** Client of the order endpoint of engines. */
interface EngineOrderClient extends AutoCloseable {
    /** Reads the current state of an engine; fails with {@code UPSTREAM_FAILED} or {@code UPSTREAM_TIMEOUT}. */
    CompletableFuture<EngineState> readState(Upstream engine);

    /** Sends an order. The future completes normally in every case; the outcome says whether the order took effect. */
    CompletableFuture<SendOutcome> sendOrder(Upstream engine, long fencingNumber, DesiredState desired);

    @Override
    void close();
}
