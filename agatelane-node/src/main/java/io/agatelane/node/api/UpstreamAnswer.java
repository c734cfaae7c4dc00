package io.agatelane.node.api;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The head of an upstream's answer.
 *
 * @param requestId request that the answer belongs to; empty when not stated
 * @param notExecuted whether the upstream states that the request did not run and will not
 * @param refusedExpectation whether the upstream is another one than expected or has other weights
 * @param upstreamId id of the answering upstream; empty when not stated
 * @param signed whether the upstream vouches for status and body
 * @param encoded whether the body was transformed on the way
 * @param load empty when the upstream does not tell its load
 * @param weightsVersion version of the weights that the answer was made with
 */
public record UpstreamAnswer(
        Optional<String> requestId,
        boolean notExecuted,
        boolean refusedExpectation,
        Optional<String> upstreamId,
        boolean signed,
        boolean encoded,
        Optional<ReportedLoad> load,
        OptionalLong weightsVersion) {}
