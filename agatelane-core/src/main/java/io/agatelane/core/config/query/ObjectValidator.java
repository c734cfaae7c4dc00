package io.agatelane.core.config.query;

import io.agatelane.core.config.ConfigState;
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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Validates a configuration object by itself and against the other objects of a state. */
public final class ObjectValidator {
    private static final long MAX_TOKENS = 1_000_000_000_000L;
    private static final int MAX_CONTEXT_TOKENS = 100_000_000;
    private static final int MAX_MILLIS = 3_600_000;
    private static final int MAX_SLOTS = 100_000;
    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_HEDGE_PERCENT = 10;
    private static final int MAX_RETRY_PERCENT = 50;
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");

    private ObjectValidator() {}

    /**
     * Validates a value before it is stored.
     *
     * @throws AgatelaneException with {@code INVALID_OBJECT}, all errors in the message and the location of the first
     *     one
     */
    public static void validate(ConfigState state, ObjectKey key, Record value) {
        List<FieldError> errors = findErrors(state, key, value);
        if (!errors.isEmpty()) {
            String detail = errors.stream().map(FieldError::toString).collect(Collectors.joining("; "));
            throw new AgatelaneException(FailureType.INVALID_OBJECT, key + " is not valid: " + detail)
                    .withLocation(errors.get(0).location());
        }
    }

    /**
     * Checks that no other object refers to the one to be deleted.
     *
     * @throws AgatelaneException with {@code INVALID_OBJECT} and the location of an object that refers to it
     */
    public static void validateDeletion(ConfigState state, ObjectKey key) {
        state.objects()
                .filter(object -> !object.key().equals(key))
                .filter(object -> refersTo(object.value(), key))
                .map(StoredObject::key)
                .sorted()
                .findFirst()
                .ifPresent(referrer -> {
                    throw new AgatelaneException(
                                    FailureType.INVALID_OBJECT, key + " is still referred to by " + referrer)
                            .withLocation("/" + referrer);
                });
    }

    /** Returns all errors in a value. */
    public static List<FieldError> findErrors(ConfigState state, ObjectKey key, Record value) {
        FieldChecks checks = new FieldChecks("/" + key.kind().fieldName());
        checks.checkObjectName(key.name(), key.kind() == ObjectKind.MODEL);
        switch (key.kind()) {
            case CLIENT_ACCOUNT -> checkAccount(checks, state, (ClientAccount) value);
            case MODEL -> checkModel(checks, state, (Model) value);
            case ROUTING_POLICY -> checkPolicy(checks, (RoutingPolicy) value);
            case SERVICE -> checkService(checks, state, (Service) value);
            case UPSTREAM -> checkUpstream(checks, state, (Upstream) value);
            default -> throw new IllegalArgumentException("unknown kind " + key);
        }
        return List.copyOf(checks.errors());
    }

    private static void checkAccount(FieldChecks checks, ConfigState state, ClientAccount account) {
        checks.checkRange("tokens_per_second", account.tokensPerSecond(), 0, MAX_TOKENS);
        // An account with a token limit and a burst of 0 could never send a request.
        checks.checkRange("burst_tokens", account.burstTokens(), account.tokensPerSecond() > 0 ? 1 : 0, MAX_TOKENS);
        checks.checkRange("weight", account.weight(), 1, MAX_WEIGHT);
        checkReference(checks, state, "routing_policy", ObjectKind.ROUTING_POLICY, account.routingPolicy());
        Set<String> usedDigests = new HashSet<>();
        for (StoredObject other : state.objects(ObjectKind.CLIENT_ACCOUNT)) {
            if (!other.key().name().equals(account.name())) {
                usedDigests.addAll(((ClientAccount) other.value()).apiKeySha256());
            }
        }
        for (int i = 0; i < account.apiKeySha256().size(); i++) {
            String field = "api_key_sha256/" + i;
            String digest = account.apiKeySha256().get(i);
            checks.checkKeyDigest(field, digest);
            if (!usedDigests.add(digest)) {
                checks.addError(field, "expected an API key that is used only once");
            }
        }
    }

    private static void checkModel(FieldChecks checks, ConfigState state, Model model) {
        checks.checkPrintable("weights_version", model.weightsVersion());
        checks.checkRange("max_context_tokens", model.maxContextTokens(), 1, MAX_CONTEXT_TOKENS);
        checks.checkRange("default_max_tokens", model.defaultMaxTokens(), 1, Math.max(1, model.maxContextTokens()));
        checkReference(checks, state, "routing_policy", ObjectKind.ROUTING_POLICY, model.routingPolicy());
    }

    private static void checkPolicy(FieldChecks checks, RoutingPolicy policy) {
        checks.checkRange("first_token_deadline_millis", policy.firstTokenDeadlineMillis(), 1, MAX_MILLIS);
        checks.checkRange("long_request_millis", policy.longRequestMillis(), 1, MAX_MILLIS);
        checks.checkRange("long_share_percent", policy.longSharePercent(), 1, 100);
        checks.checkRange("hedge_percent", policy.hedgePercent(), 0, MAX_HEDGE_PERCENT);
        checks.checkRange("retry_percent", policy.retryPercent(), 0, MAX_RETRY_PERCENT);
    }

    private static void checkService(FieldChecks checks, ConfigState state, Service service) {
        checks.checkName("path_prefix", service.pathPrefix());
        for (StoredObject other : state.objects(ObjectKind.SERVICE)) {
            if (!other.key().name().equals(service.name())
                    && ((Service) other.value()).pathPrefix().equals(service.pathPrefix())) {
                checks.addError("path_prefix", "expected a prefix that " + other.key() + " does not use");
            }
        }
        if (service.operations().isEmpty()) {
            checks.addError("operations", "expected at least one operation");
        }
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < service.operations().size(); i++) {
            checkOperation(checks, "operations/" + i, service.operations().get(i), seen);
        }
        if (!service.statusPath().isEmpty()) {
            checks.checkPrintable("status_path", service.statusPath());
            if (!service.statusPath().contains("{key}")) {
                checks.addError("status_path", "expected a path with {key}, or none");
            }
        }
        checks.checkRange("timeout_millis", service.timeoutMillis(), 1, MAX_MILLIS);
    }

    private static void checkOperation(FieldChecks checks, String field, Operation operation, Set<String> seen) {
        if (!METHODS.contains(operation.method())) {
            checks.addError(field + "/method", "expected one of GET, HEAD, POST, PUT, PATCH, DELETE");
        }
        checks.checkPrintable(field + "/path", operation.path());
        int star = operation.path().indexOf('*');
        if (star >= 0 && star < operation.path().length() - 1) {
            checks.addError(field + "/path", "expected * only at the end");
        }
        if (!seen.add(operation.method() + " " + operation.path())) {
            checks.addError(field, "expected each method and path only once");
        }
    }

    private static void checkUpstream(FieldChecks checks, ConfigState state, Upstream upstream) {
        checks.checkBaseUrl("base_url", upstream.baseUrl());
        checks.checkName("availability_zone", upstream.availabilityZone());
        checks.checkRange("slots", upstream.slots(), 1, MAX_SLOTS);
        if (upstream.models().isEmpty() == upstream.service().isEmpty()) {
            checks.addError("models", "expected either models or a service, not both");
        }
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < upstream.models().size(); i++) {
            String model = upstream.models().get(i);
            if (!seen.add(model)) {
                checks.addError("models/" + i, "expected each model only once");
            }
            if (model.isEmpty()) {
                checks.addError("models/" + i, "expected the name of a model");
            }
            checkReference(checks, state, "models/" + i, ObjectKind.MODEL, model);
        }
        checkReference(checks, state, "service", ObjectKind.SERVICE, upstream.service());
    }

    private static void checkReference(
            FieldChecks checks, ConfigState state, String field, ObjectKind kind, String name) {
        if (!name.isEmpty() && state.find(new ObjectKey(kind, name)).isEmpty()) {
            checks.addError(field, "expected an existing " + kind.fieldName() + ", found \"" + name + "\"");
        }
    }

    private static boolean refersTo(Record value, ObjectKey key) {
        String name = key.name();
        return switch (key.kind()) {
            case MODEL -> value instanceof Upstream upstream
                    && upstream.models().contains(name);
            case SERVICE -> value instanceof Upstream upstream
                    && upstream.service().equals(name);
            case ROUTING_POLICY -> (value instanceof ClientAccount account
                            && account.routingPolicy().equals(name))
                    || (value instanceof Model model && model.routingPolicy().equals(name));
            default -> false;
        };
    }
}
