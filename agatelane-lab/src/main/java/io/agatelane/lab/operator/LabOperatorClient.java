package io.agatelane.lab.operator;

import io.agatelane.wire.operator.ApplyRequest;
import io.agatelane.wire.operator.ApplyResponse;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.operator.OperatorServiceGrpc;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Applies configuration objects through a router's operator service. */
public final class LabOperatorClient implements AutoCloseable {
    private static final int ANY_VERSION = -1;
    private static final long RETRY_MILLIS = 200;
    private static final int IN_FORCE_WAIT_MILLIS = 8_000;
    private static final int CALL_TIMEOUT_SECONDS = 15;

    private final ManagedChannel channel;
    private final OperatorServiceGrpc.OperatorServiceBlockingStub stub;

    public LabOperatorClient(InetSocketAddress address) {
        channel = NettyChannelBuilder.forAddress(address).usePlaintext().build();
        stub = OperatorServiceGrpc.newBlockingStub(channel);
    }

    /** Applies objects in order, waits until the last one is in force everywhere and returns its revision. */
    public long applyAll(List<ConfigObject> objects, long timeoutMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        long revision = 0;
        for (int i = 0; i < objects.size(); i++) {
            // Only the last change waits for all routers, because it is in force after all earlier ones.
            int waitMillis = i < objects.size() - 1 ? 0 : IN_FORCE_WAIT_MILLIS;
            revision = apply(objects.get(i), waitMillis, endNanos).getRevision();
        }
        return revision;
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }

    private ApplyResponse apply(ConfigObject object, int waitMillis, long endNanos) throws InterruptedException {
        ApplyRequest request = ApplyRequest.newBuilder()
                .setObject(object)
                .setExpectedVersion(ANY_VERSION)
                .setChangeId("lab-" + object.getName() + "-" + Long.toHexString(System.nanoTime()))
                .setWaitMillis(waitMillis)
                .build();
        while (true) {
            try {
                return stub.withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .apply(request);
            } catch (StatusRuntimeException e) {
                // The router is still starting, or another change was applied first. The same change id makes a retry
                // safe.
                Status.Code code = e.getStatus().getCode();
                boolean retryable = code == Status.Code.UNAVAILABLE || code == Status.Code.ABORTED;
                if (!retryable || System.nanoTime() > endNanos) {
                    throw e;
                }
            }
            Thread.sleep(RETRY_MILLIS);
        }
    }
}
