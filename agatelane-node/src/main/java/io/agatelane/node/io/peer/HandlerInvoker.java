package io.agatelane.node.io.peer;

import io.agatelane.node.api.PeerTransport;
import io.agatelane.wire.peer.PeerFrame;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/** Invokes request handlers and treats an exception that a handler throws like a failed future. */
final class HandlerInvoker {
    private HandlerInvoker() {}

    static void invoke(
            PeerTransport.Handler handler,
            String fromVm,
            PeerFrame frame,
            BiConsumer<? super PeerFrame, Throwable> onCompletion) {
        CompletableFuture<PeerFrame> result;
        try {
            result = handler.handle(fromVm, frame);
        } catch (RuntimeException e) {
            result = CompletableFuture.failedFuture(e);
        }
        CompletableFuture<PeerFrame> unused = result.whenComplete(onCompletion);
    }
}
