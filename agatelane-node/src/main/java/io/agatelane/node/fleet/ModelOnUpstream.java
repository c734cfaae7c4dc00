package io.agatelane.node.fleet;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.hash.Rendezvous;

/**
 * Identifies a model on one incarnation of an upstream in digests, by hashes.
 *
 * @param upstream hash of the upstream's key
 * @param model hash of the model's name
 */
public record ModelOnUpstream(long upstream, long model) {
    /** Identifies a model on the incarnation of an upstream with the given key, see {@link FleetUpstream#key}. */
    static ModelOnUpstream of(String upstreamKey, String model) {
        return new ModelOnUpstream(Rendezvous.hash(upstreamKey), Rendezvous.hash(model));
    }
}
