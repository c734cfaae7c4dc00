package io.agatelane.cli;

import com.beust.jcommander.ParameterException;
import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.rpc.ErrorInfo;
import io.agatelane.wire.operator.ConflictDetail;
import io.agatelane.wire.operator.OperatorServiceGrpc;
import io.agatelane.wire.operator.OperatorServiceGrpc.OperatorServiceBlockingStub;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.protobuf.StatusProto;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** gRPC client of one router's operator service. Converts failures to exit codes. */
final class OperatorClient implements AutoCloseable {
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]+]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    // A list of 13,000 client accounts takes about 4 MB.
    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final String address;
    private final int timeoutMillis;
    private final ManagedChannel channel;
    private final OperatorServiceBlockingStub stub;

    OperatorClient(String address, int timeoutMillis) {
        this.address = address;
        this.timeoutMillis = timeoutMillis;
        this.channel = NettyChannelBuilder.forAddress(parse(address))
                .usePlaintext()
                .maxInboundMessageSize(MAX_RESPONSE_BYTES)
                .build();
        this.stub = OperatorServiceGrpc.newBlockingStub(channel);
    }

    /** Makes a call that changes nothing. */
    <T> T call(Function<OperatorServiceBlockingStub, T> call) {
        try {
            return call.apply(stub.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS));
        } catch (StatusRuntimeException e) {
            throw failure(e, "");
        }
    }

    /**
     * Makes a call that changes the configuration. When its outcome may be unknown, the error message contains the
     * change identity, with which the call can be repeated.
     */
    <T> T change(String changeId, long waitMillis, Function<OperatorServiceBlockingStub, T> call) {
        try {
            return call.apply(stub.withDeadlineAfter(timeoutMillis + waitMillis, TimeUnit.MILLISECONDS));
        } catch (StatusRuntimeException e) {
            throw failure(e, "; to repeat the same change, use --change-id " + changeId);
        }
    }

    @Override
    public void close() {
        channel.shutdownNow();
        try {
            channel.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CliException failure(StatusRuntimeException e, String advice) {
        com.google.rpc.Status status = StatusProto.fromThrowable(e);
        Optional<ErrorInfo> info = Optional.ofNullable(status).flatMap(value -> detail(value, ErrorInfo.class));
        Status.Code code = e.getStatus().getCode();
        if (code == Status.Code.ABORTED) {
            String detail = detail(status, ConflictDetail.class)
                    .map(conflict -> "conflict: " + conflict.getKind() + " " + conflict.getName() + " has version "
                            + conflict.getActualVersion() + ", expected version " + conflict.getExpectedVersion())
                    .orElse(e.getStatus().getDescription());
            return new CliException(ExitCode.CONFLICT, detail);
        }
        // A router that responds sends the failure type; without it the call did not reach the router.
        boolean unreachable =
                info.isEmpty() && (code == Status.Code.UNAVAILABLE || code == Status.Code.DEADLINE_EXCEEDED);
        if (unreachable) {
            return new CliException(
                    ExitCode.NOT_REACHABLE,
                    "the router at " + address + " did not answer: " + cause(e.getStatus()) + advice);
        }
        boolean repeat = code == Status.Code.UNAVAILABLE || code == Status.Code.UNKNOWN;
        String location = info.map(value -> value.getMetadataOrDefault("location", ""))
                .filter(value -> !value.isEmpty())
                .map(value -> value + ": ")
                .orElse("");
        String description = e.getStatus().getDescription();
        return new CliException(
                ExitCode.FAILED, location + (description == null ? code.name() : description) + (repeat ? advice : ""));
    }

    private static <T extends com.google.protobuf.Message> Optional<T> detail(
            com.google.rpc.Status status, Class<T> type) {
        if (status == null) {
            return Optional.empty();
        }
        try {
            for (Any any : status.getDetailsList()) {
                if (any.is(type)) {
                    return Optional.of(any.unpack(type));
                }
            }
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
        return Optional.empty();
    }

    // The status prints the stack trace of its cause, which does not help operators.
    private static String cause(Status status) {
        Throwable cause = status.getCause();
        String description = status.getDescription() == null ? "" : ", " + status.getDescription();
        return status.getCode() + (cause == null ? description : ", " + cause.getMessage());
    }

    private static InetSocketAddress parse(String address) {
        Matcher matcher = ADDRESS.matcher(address);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            throw new ParameterException("--rpc: expected IP:PORT, found " + address);
        }
        return new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
    }
}
