package io.agatelane.core.fleet.query;

import java.util.Optional;

/**
 * Where a request goes.
 *
 * @param expectedMillis expected time to the first byte of the answer
 * @param queueMillis part of it that passes before the upstream begins with the request
 * @param prefillMillis part of it that the upstream spends on reading the prompt
 * @param cacheSource address to copy shared parts from; empty when the chosen engine has them or nobody does
 */
public record Choice(
        Candidate candidate,
        double expectedMillis,
        double queueMillis,
        double prefillMillis,
        Optional<String> cacheSource) {}
