package io.agatelane.node.api;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decoded headers and status of an upstream's response.
 *
 * @param requestId request that the response belongs to; empty when not stated
 * @param notExecuted whether the upstream states that the request did not run and will not
 * @param refusedExpectation whether the upstream refused the request because it is not the expected upstream or does
 *     not have the expected weights
 * @param upstreamId id of the responding upstream; empty when not stated
 * @param signed whether the upstream signed status and body
 * @param contentEncoded whether the body has a content encoding, that is, was transformed on the way
 * @param load empty when the upstream does not report its load
 * @param weightsVersion version of the weights that produced the response
 * @param leaving whether the upstream states that it leaves and wants no new requests
 * @param pauseMillis time for which the upstream wants no requests from this router
 */
public record UpstreamResponse(
        Optional<String> requestId,
        boolean notExecuted,
        boolean refusedExpectation,
        Optional<String> upstreamId,
        boolean signed,
        boolean contentEncoded,
        Optional<ReportedLoad> load,
        OptionalLong weightsVersion,
        boolean leaving,
        OptionalLong pauseMillis) {}
