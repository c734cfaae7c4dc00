package io.agatelane.node.api;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Values that the router adds to one request as headers for the upstream.
 *
 * @param upstreamId the only upstream that may run the request
 * @param account name of the client account; empty when the request is public
 * @param deadlineMillis time left until the deadline
 * @param priority 0 (served first) to 9; empty for requests without a prompt
 * @param weightsVersion version of the weights that the upstream must have loaded
 * @param cacheSalt namespace of cached prompt parts
 * @param cacheSource address from which the upstream may fetch cached prompt parts
 * @param cacheStore address to which the upstream saves the prompt parts that it has prefilled
 * @param resumeAfterEventId id of the last event that the caller has received from an earlier run
 */
public record UpstreamCall(
        String upstreamId,
        Optional<String> account,
        long deadlineMillis,
        OptionalInt priority,
        OptionalLong weightsVersion,
        Optional<String> cacheSalt,
        Optional<String> cacheSource,
        Optional<String> cacheStore,
        Optional<String> resumeAfterEventId) {}
