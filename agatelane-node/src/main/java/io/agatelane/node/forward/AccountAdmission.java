package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.Route;
import io.agatelane.core.limits.AccountLimit;
import io.agatelane.core.limits.RateDecision;
import io.agatelane.core.limits.command.AccountRateLimiter.LimitedRequest;
import io.agatelane.node.api.CallerRequest;
import io.agatelane.node.fleet.FleetSnapshot;
import java.util.Optional;

/** Checks the API key of one request and applies the rate limit of its account. Does nothing for a request without one. */
final class AccountAdmission {
    // The next read of the store verifies the configuration again.
    private static final long STALE_CONFIG_RETRY_MILLIS = 500;

    private final ForwardContext context;
    private final String requestId;
    private final Optional<String> apiKey;
    private final Optional<FleetAccount> account;
    private final Optional<LimitedRequest> limited;
    private boolean wasSent;

    AccountAdmission(ForwardContext context, CallerRequest caller, Optional<FleetAccount> account, long nowMillis) {
        this.context = context;
        this.requestId = caller.id();
        this.apiKey = caller.apiKey();
        this.account = account;
        this.limited = account.flatMap(FleetAccount::limit).map(limit -> context.accountLimiter()
                .arrive(account.get().nameHash(), limit, limit.units(caller.totalTokens()), nowMillis));
    }

    /**
     * Checks that the account's API key may still be used. A configuration can have taken it away since the request came,
     * and only the one that is proven counts. Public routes need no key.
     *
     * @throws AgatelaneException with {@code UNAUTHENTICATED} when the key is not the account's any more, and with
     *     {@code PLATFORM_UNAVAILABLE} when the configuration is too old to know
     */
    void checkKey(FleetSnapshot snapshot, Route route) {
        if (account.isEmpty()) {
            return;
        }
        boolean isKnown = apiKey.flatMap(key -> snapshot.config().flatMap(config -> config.accountOf(key)))
                .filter(known -> known.name().equals(account.get().name()))
                .isPresent();
        if (!isKnown && !route.isPublic()) {
            throw new AgatelaneException(FailureType.UNAUTHENTICATED, "the API key was taken away");
        }
        long age = snapshot.configAgeMillis(context.timers().now());
        if (age > context.settings().maxConfigAgeMillis()) {
            throw new AgatelaneException(
                            FailureType.PLATFORM_UNAVAILABLE,
                            "the API key cannot be checked: the configuration was last verified as current " + age
                                    + " ms ago")
                    .withRetryAfterMillis(STALE_CONFIG_RETRY_MILLIS);
        }
    }

    /**
     * Checks a request that has not been sent yet.
     *
     * @throws AgatelaneException with {@code ACCOUNT_LIMIT} and the time after which to retry
     */
    void check(long nowMillis) {
        if (limited.isEmpty() || wasSent) {
            return;
        }
        RateDecision decision = context.accountLimiter().decide(limited.get(), nowMillis);
        if (decision.admitted()) {
            return;
        }
        AccountLimit limit = limited.get().limit();
        String name = account.map(FleetAccount::name).orElseThrow();
        ForwardLog.accountRefused(context, requestId, name, limited.get(), decision);
        throw new AgatelaneException(
                        FailureType.ACCOUNT_LIMIT,
                        "account " + name + " exceeds its limit of " + limit.ratePerSecond() + " "
                                + limit.unit().plural() + " per second")
                .withRetryAfterMillis(decision.retryAfterMillis());
    }

    /** Records an attempt: each one may run at an upstream. */
    void recordSent(long nowMillis) {
        wasSent = true;
        limited.ifPresent(request -> context.accountLimiter().recordSent(request, nowMillis));
    }

    /** Records that the last attempt was not run. */
    void recordNotRun(long nowMillis) {
        limited.ifPresent(request -> context.accountLimiter().recordNotRun(request, nowMillis));
    }
}
