package io.agatelane.node.io.operator;

import io.agatelane.core.failure.FailureType;
import io.agatelane.node.api.KeyValueStore;
import io.agatelane.node.api.Member;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.RoutingInspector;
import io.agatelane.node.config.ConfigService;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import io.agatelane.wire.operator.ApplyRequest;
import io.agatelane.wire.operator.ApplyResponse;
import io.agatelane.wire.operator.DeleteRequest;
import io.agatelane.wire.operator.DeleteResponse;
import io.agatelane.wire.operator.ExplainRequest;
import io.agatelane.wire.operator.ExplainResponse;
import io.agatelane.wire.operator.GetRequest;
import io.agatelane.wire.operator.GetResponse;
import io.agatelane.wire.operator.ListRequest;
import io.agatelane.wire.operator.ListResponse;
import io.agatelane.wire.operator.OperatorServiceGrpc;
import io.agatelane.wire.operator.SetDrainingRequest;
import io.agatelane.wire.operator.SetDrainingResponse;
import io.agatelane.wire.operator.StatusRequest;
import io.agatelane.wire.operator.StatusResponse;
import io.agatelane.wire.operator.VmStatus;
import io.grpc.stub.StreamObserver;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Implements the gRPC operator service by calls to the configuration, the membership and the routing inspector. */
final class OperatorServiceImpl extends OperatorServiceGrpc.OperatorServiceImplBase {
    private static final EventLog LOG = EventLog.of(OperatorServiceImpl.class);

    private final ConfigService config;
    private final MembershipView membership;
    private final RoutingInspector inspector;
    private final KeyValueStore store;

    OperatorServiceImpl(
            ConfigService config, MembershipView membership, RoutingInspector inspector, KeyValueStore store) {
        this.config = config;
        this.membership = membership;
        this.inspector = inspector;
        this.store = store;
    }

    @Override
    public void get(GetRequest request, StreamObserver<GetResponse> observer) {
        respondNow("Get", () -> config.get(request), observer);
    }

    @Override
    public void list(ListRequest request, StreamObserver<ListResponse> observer) {
        respondNow("List", () -> config.list(request), observer);
    }

    @Override
    public void apply(ApplyRequest request, StreamObserver<ApplyResponse> observer) {
        respond("Apply", config.apply(request), observer);
    }

    @Override
    public void delete(DeleteRequest request, StreamObserver<DeleteResponse> observer) {
        respond("Delete", config.delete(request), observer);
    }

    @Override
    public void setDraining(SetDrainingRequest request, StreamObserver<SetDrainingResponse> observer) {
        respond("SetDraining", config.setDraining(request), observer);
    }

    @Override
    public void status(StatusRequest request, StreamObserver<StatusResponse> observer) {
        respondNow("Status", this::status, observer);
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainResponse> observer) {
        respondNow("Explain", () -> inspector.explain(request), observer);
    }

    private StatusResponse status() {
        StatusResponse.Builder response = StatusResponse.newBuilder()
                .setRevision(config.current().revision())
                .setPlatformReachable(store.reachable())
                .addAllUpstreams(inspector.upstreams());
        membership.members().forEach(member -> response.addVms(vmStatus(member)));
        return response.build();
    }

    private VmStatus vmStatus(Member member) {
        boolean self = member.name().equals(membership.self().name());
        return VmStatus.newBuilder()
                .setName(member.name())
                .setAvailabilityZone(member.availabilityZone())
                .setState(member.state().name().toLowerCase(Locale.ROOT))
                .setIncarnation(member.incarnation())
                .setConfigRevision(self ? config.current().revision() : member.configRevision())
                .setPeerAddress(member.peerAddress())
                .build();
    }

    private static <T> void respondNow(String call, Supplier<T> supplier, StreamObserver<T> observer) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            result.complete(supplier.get());
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
        }
        respond(call, result, observer);
    }

    private static <T> void respond(String call, CompletableFuture<T> result, StreamObserver<T> observer) {
        Futures.whenDone(result, Runnable::run, (response, failure) -> {
            if (failure == null) {
                observer.onNext(response);
                observer.onCompleted();
                return;
            }

            if (failure.type() == FailureType.INTERNAL) {
                LOG.event("operator_call_failed").with("call", call).error(failure);
            } else {
                LOG.event("operator_call_refused")
                        .with("call", call)
                        .with("type", failure.type().code())
                        .with("location", failure.location())
                        .with("detail", failure.getMessage())
                        .info();
            }
            observer.onError(RpcStatus.of(failure));
        });
    }
}
