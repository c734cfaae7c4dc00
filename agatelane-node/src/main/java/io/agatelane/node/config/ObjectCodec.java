package io.agatelane.node.config;

import io.agatelane.core.config.ObjectKey;
import io.agatelane.core.config.ObjectKind;
import io.agatelane.core.config.StoredObject;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.model.ClientAccount;
import io.agatelane.core.model.Model;
import io.agatelane.core.model.Operation;
import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.core.model.Service;
import io.agatelane.core.model.Upstream;
import io.agatelane.wire.operator.ClientAccountSpec;
import io.agatelane.wire.operator.ConfigObject;
import io.agatelane.wire.operator.Kind;
import io.agatelane.wire.operator.ModelSpec;
import io.agatelane.wire.operator.OperationSpec;
import io.agatelane.wire.operator.RoutingPolicySpec;
import io.agatelane.wire.operator.ServiceSpec;
import io.agatelane.wire.operator.UpstreamSpec;

/** Converts configuration objects between their protobuf messages and the value types of the core module. */
final class ObjectCodec {
    private ObjectCodec() {}

    /**
     * Returns the key of an object.
     *
     * @throws AgatelaneException with {@code INVALID_OBJECT} when it has no spec
     */
    static ObjectKey key(ConfigObject object) {
        ObjectKind kind =
                switch (object.getSpecCase()) {
                    case CLIENT_ACCOUNT -> ObjectKind.CLIENT_ACCOUNT;
                    case MODEL -> ObjectKind.MODEL;
                    case ROUTING_POLICY -> ObjectKind.ROUTING_POLICY;
                    case SERVICE -> ObjectKind.SERVICE;
                    case UPSTREAM -> ObjectKind.UPSTREAM;
                    default -> throw new AgatelaneException(
                                    FailureType.INVALID_OBJECT,
                                    "expected one of client_account, model, routing_policy, service, upstream")
                            .withLocation("/object");
                };
        return new ObjectKey(kind, object.getName());
    }

    /**
     * Returns the key for a kind and a name.
     *
     * @throws AgatelaneException with {@code INVALID_OBJECT} when the kind is not set or not known
     */
    static ObjectKey key(Kind kind, String name) {
        return new ObjectKey(kind(kind), name);
    }

    static ObjectKind kind(Kind kind) {
        return switch (kind) {
            case CLIENT_ACCOUNT -> ObjectKind.CLIENT_ACCOUNT;
            case MODEL -> ObjectKind.MODEL;
            case ROUTING_POLICY -> ObjectKind.ROUTING_POLICY;
            case SERVICE -> ObjectKind.SERVICE;
            case UPSTREAM -> ObjectKind.UPSTREAM;
            default -> throw new AgatelaneException(
                            FailureType.INVALID_OBJECT,
                            "expected one of CLIENT_ACCOUNT, MODEL, ROUTING_POLICY, SERVICE, UPSTREAM")
                    .withLocation("/kind");
        };
    }

    static Kind toWire(ObjectKind kind) {
        return Kind.valueOf(kind.name());
    }

    static StoredObject decode(ConfigObject object) {
        return new StoredObject(key(object), object.getVersion(), value(object));
    }

    static Record value(ConfigObject object) {
        String name = object.getName();
        return switch (key(object).kind()) {
            case CLIENT_ACCOUNT -> account(name, object.getClientAccount());
            case MODEL -> model(name, object.getModel());
            case ROUTING_POLICY -> policy(name, object.getRoutingPolicy());
            case SERVICE -> service(name, object.getService());
            case UPSTREAM -> upstream(name, object.getUpstream());
        };
    }

    private static ClientAccount account(String name, ClientAccountSpec spec) {
        return new ClientAccount(
                name,
                spec.getApiKeySha256List(),
                spec.getTokensPerSecond(),
                spec.getBurstTokens(),
                spec.getWeight(),
                spec.getRoutingPolicy());
    }

    private static Model model(String name, ModelSpec spec) {
        return new Model(
                name,
                spec.getWeightsVersion(),
                spec.getMaxContextTokens(),
                spec.getDefaultMaxTokens(),
                spec.getRoutingPolicy());
    }

    private static RoutingPolicy policy(String name, RoutingPolicySpec spec) {
        return new RoutingPolicy(
                name,
                spec.getFirstTokenDeadlineMillis(),
                spec.getLongRequestMillis(),
                spec.getLongSharePercent(),
                spec.getHedgePercent(),
                spec.getRetryPercent());
    }

    private static Service service(String name, ServiceSpec spec) {
        return new Service(
                name,
                spec.getPathPrefix(),
                spec.getOperationsList().stream().map(ObjectCodec::operation).toList(),
                spec.getStatusPath(),
                spec.getTimeoutMillis());
    }

    private static Operation operation(OperationSpec spec) {
        return new Operation(spec.getMethod(), spec.getPath(), spec.getRepeatable());
    }

    private static Upstream upstream(String name, UpstreamSpec spec) {
        return new Upstream(
                name,
                spec.getBaseUrl(),
                spec.getAvailabilityZone(),
                spec.getModelsList(),
                spec.getService(),
                spec.getSlots(),
                spec.getChecksFencing(),
                spec.getDraining());
    }
}
