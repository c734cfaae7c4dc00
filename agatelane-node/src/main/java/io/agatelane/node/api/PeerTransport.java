package io.agatelane.node.api;

import io.agatelane.wire.peer.PeerFrame;
import java.util.concurrent.CompletableFuture;

/** Requests between routers over TCP. Futures fail with {@code PEER_UNREACHABLE}. */
public interface PeerTransport {
    /** Sends a request to a router and returns its response. */
    CompletableFuture<PeerFrame> request(String vmName, PeerFrame frame, long timeoutMillis);

    /** Sets the handler for one kind of request. The handler runs on the control thread. */
    void onRequest(PeerFrame.BodyCase kind, Handler handler);

    /** Handles a request and returns its response; a failed future is sent back as a typed error. */
    @FunctionalInterface
    interface Handler {
        CompletableFuture<PeerFrame> handle(String fromVm, PeerFrame frame);
    }
}
