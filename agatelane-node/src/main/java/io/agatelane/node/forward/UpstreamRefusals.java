package io.agatelane.node.forward;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.RequestedWeights;
import io.agatelane.node.api.CallerRequest;
import io.agatelane.node.api.UpstreamResponse;

/** What the refusals of upstreams tell about these. */
final class UpstreamRefusals {
    private UpstreamRefusals() {}

    /** Records what an upstream has said by refusing a request. */
    static void record(
            ForwardContext context, CallerRequest caller, FleetUpstream upstream, UpstreamResponse upstreamResponse) {
        boolean otherUpstream = upstreamResponse
                .upstreamId()
                .filter(id -> !id.equals(upstream.id()))
                .isPresent();
        if (upstreamResponse.refusedExpectation() && otherUpstream) {
            context.state().recordReplacement(upstream);
        } else if (upstreamResponse.refusedExpectation() && caller.prompt().isPresent()) {
            // The weights differ from the entry: most likely the upstream has loaded the newest ones since.
            String model = caller.prompt().get().model();
            long newest = context.state()
                    .snapshot()
                    .requestedWeights(model)
                    .map(RequestedWeights::newest)
                    .orElse(0L);
            context.state()
                    .recordWeightsVersion(
                            upstream, model, upstreamResponse.weightsVersion().orElse(newest));
        } else {
            context.state().load(upstream).recordFailure(context.timers().monotonicMillis());
        }
    }
}
