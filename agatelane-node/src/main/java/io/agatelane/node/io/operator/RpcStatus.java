package io.agatelane.node.io.operator;

import com.google.protobuf.Any;
import com.google.rpc.ErrorInfo;
import com.google.rpc.Status;
import io.agatelane.core.config.ConflictException;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.wire.operator.ConflictDetail;
import io.agatelane.wire.operator.Kind;
import io.grpc.Status.Code;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.StatusProto;

/** Converts failures to gRPC statuses, whose details carry the failure type and the location. */
final class RpcStatus {
    private static final String DOMAIN = "agatelane";

    private RpcStatus() {}

    static StatusRuntimeException of(AgatelaneException failure) {
        Status.Builder status = Status.newBuilder()
                .setCode(toCode(failure.type()).value())
                .setMessage(String.valueOf(failure.getMessage()))
                .addDetails(Any.pack(ErrorInfo.newBuilder()
                        .setDomain(DOMAIN)
                        .setReason(failure.type().name())
                        .putMetadata("location", failure.location())
                        .putMetadata("executed", failure.executed().wireName())
                        .build()));
        if (failure instanceof ConflictException conflict) {
            status.addDetails(Any.pack(toConflictDetail(conflict)));
        }
        return StatusProto.toStatusRuntimeException(status.build());
    }

    private static ConflictDetail toConflictDetail(ConflictException conflict) {
        return ConflictDetail.newBuilder()
                .setKind(Kind.valueOf(conflict.key().kind().name()))
                .setName(conflict.key().name())
                .setExpectedVersion(conflict.expectedVersion())
                .setActualVersion(conflict.actualVersion())
                .build();
    }

    private static Code toCode(FailureType type) {
        return switch (type) {
            case INVALID_OBJECT, MALFORMED_REQUEST -> Code.INVALID_ARGUMENT;
            case NOT_FOUND, MODEL_NOT_FOUND -> Code.NOT_FOUND;
            case CONFLICT -> Code.ABORTED;
            case PLATFORM_UNAVAILABLE, CONFIG_REGRESSED, OVERLOADED, NO_MEMORY, SHUTTING_DOWN, NO_UPSTREAM -> Code
                    .UNAVAILABLE;
            case CONFIG_DIVERGED -> Code.FAILED_PRECONDITION;
            case WRITE_OUTCOME_UNKNOWN -> Code.UNKNOWN;
            case UNAUTHENTICATED -> Code.UNAUTHENTICATED;
            default -> Code.INTERNAL;
        };
    }
}
