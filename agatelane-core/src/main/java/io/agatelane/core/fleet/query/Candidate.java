package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.UpstreamEstimate;

/**
 * An upstream that a request could be sent to, with its estimated load.
 *
 * @param weightsVersion version that the upstream probably has loaded for the request's model; 0 when the request has
 *     no model
 */
public record Candidate(FleetUpstream upstream, UpstreamEstimate estimate, long weightsVersion) {}
