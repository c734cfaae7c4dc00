package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.Interference;
import java.util.Optional;

/**
 * The upstream chosen for a request, with the expected times of its response.
 *
 * @param expectedMillis expected time to the first byte of the response
 * @param queueMillis part of the expected time before the upstream starts to process the request
 * @param prefillMillis part of the expected time that the upstream spends on the prefill of the prompt
 * @param normalMillis expected time to the first byte on an upstream of normal speed, without the network
 * @param interference part of the expected time that is due to less urgent prompts
 * @param cacheSource address to copy the shared prompt parts from; empty when the chosen engine has them or no engine
 *     or store does
 */
public record UpstreamChoice(
        Candidate candidate,
        double expectedMillis,
        double queueMillis,
        double prefillMillis,
        double normalMillis,
        Interference interference,
        Optional<String> cacheSource) {}
