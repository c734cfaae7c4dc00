package io.agatelane.node.api;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the router tells an upstream about one request.
 *
 * @param upstreamId the only upstream that may run the request
 * @param account name of the client account; empty when the request is public
 * @param deadlineMillis time that is left
 * @param priority 0 (first) to 9; empty for requests without a prompt
 * @param weightsVersion version of the weights that must be loaded
 * @param cacheSalt name space of cached prompt parts
 * @param cacheSource address to fetch cached parts from
 * @param cacheStore address to save read parts to
 * @param resumeAfter id of the last event that the caller has received from an earlier run
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
        Optional<String> resumeAfter) {}
