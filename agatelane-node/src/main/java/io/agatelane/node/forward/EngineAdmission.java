package io.agatelane.node.forward;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.fleet.EngineProfile;
import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.command.EngineShares;
import io.agatelane.core.fleet.command.ServiceShares;
import io.agatelane.core.hash.Rendezvous;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Fair shares of one service of engines at this router: which requests are refused while the engines are saturated. */
final class EngineAdmission {
    // Demands by account and priority in a digest, about 30 bytes each; only few accounts exceed their share.
    static final int MAX_REPORTED_KEYS = 8;
    // Time of an engine for one token of each request that it runs.
    private static final double STEP_MILLIS = 4;

    private final String service;
    private final ForwardContext context;
    private final EngineShares shares;
    private volatile int inFlight;

    EngineAdmission(String service, ForwardContext context, RandomGenerator random) {
        this.service = service;
        this.context = context;
        this.shares = new EngineShares(Rendezvous.hash(service), random);
    }

    /** Identifies the requests of an account at a priority. */
    ServiceDemand.Key key(Optional<FleetAccount> account, int priority) {
        return shares.key(account.map(FleetAccount::name).map(Rendezvous::hash).orElse(0L), priority);
    }

    /** Expected work of a prompt whose shared parts are cached, in milliseconds of one engine. */
    double workMillis(Prompt prompt, EngineProfile engine) {
        double prefill = Math.max(0, prompt.inputTokens() - prompt.sharedTokens())
                / context.prefillSpeed(service).tokensPerMilli();
        return prefill + prompt.maxOutputTokens() * STEP_MILLIS / Math.max(1, engine.slots());
    }

    /**
     * Counts a new request as demand.
     *
     * @throws AgatelaneException with {@code OVERLOADED} when the request exceeds the share of its account and priority
     */
    void offer(ServiceDemand.Key key, double workMillis, String id, long nowMillis) {
        Optional<ServiceShares.Refusal> refusal = shares.offer(
                key,
                workMillis,
                context.peerDemands().sums(nowMillis),
                context.waiting(service).size(),
                inFlight,
                nowMillis);
        if (refusal.isPresent()) {
            throw ShareLog.shareExceeded(context, service, id, key, refusal.get(), shares.capacity(nowMillis));
        }
    }

    /** Counts a request that is about to be sent to an engine for the first time. */
    void recordAdmitted(ServiceDemand.Key key, double workMillis, long nowMillis) {
        shares.recordAdmitted(key, workMillis, nowMillis);
    }

    /** Counts a request that was refused because no engine has room for it in time. */
    void recordNoRoom(long nowMillis) {
        shares.recordNoRoom(nowMillis);
    }

    /** The demand that this router reports to the others. */
    List<ServiceDemand> demands(long nowMillis) {
        inFlight = context.state().snapshot().usable(service).stream()
                .mapToInt(upstream ->
                        context.state().load(upstream).digest(0, nowMillis).inFlight())
                .sum();
        return shares.demands(MAX_REPORTED_KEYS, context.waiting(service).size(), inFlight, nowMillis);
    }
}
