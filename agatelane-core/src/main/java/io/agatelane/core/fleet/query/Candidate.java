package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.UpstreamEstimate;

/**
 * An upstream that a request could go to.
 *
 * @param weightsVersion version believed to be loaded for the request's model; 0 when the request names no model
 */
public record Candidate(FleetUpstream upstream, UpstreamEstimate estimate, long weightsVersion) {}
