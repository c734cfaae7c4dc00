package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.ClockReading;
import io.agatelane.core.fleet.EngineProfile;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.fleet.RequestedWeights;
import java.util.List;
import java.util.Optional;

/**
 * The engines among which a prompt is placed.
 *
 * <p>Weights are checked first: an engine with the newest weights counts even when it is full, so that a prompt waits
 * for it and does not start on weights that were replaced long ago.
 *
 * @param allowed engines whose weights may start the prompt
 * @param withRoom those of them that have memory and a slot for it
 */
public record EngineCandidates(List<Candidate> allowed, List<Candidate> withRoom) {
    public EngineCandidates {
        allowed = List.copyOf(allowed);
        withRoom = List.copyOf(withRoom);
    }

    /**
     * Divides candidates by weights and room.
     *
     * @param requested versions that the operator has requested; empty when unknown
     * @param now current time
     * @param allowedMillis time for which replaced weights may still be used after the newer version was requested
     */
    public static EngineCandidates of(
            List<Candidate> all,
            Optional<RequestedWeights> requested,
            ClockReading now,
            long allowedMillis,
            Prompt prompt,
            EngineProfile profile) {
        List<Candidate> allowed = requested
                .map(weights -> StaleWeightsFilter.allowedCandidates(all, weights, now, allowedMillis))
                .orElse(all);
        List<Candidate> withRoom = allowed.stream()
                .filter(candidate -> EngineRoom.hasRoom(candidate, prompt, profile))
                .toList();
        return new EngineCandidates(allowed, withRoom);
    }

    /** The same engines for a request that may not wait: each of them counts as having room. */
    public EngineCandidates withoutRoomLimit() {
        return new EngineCandidates(allowed, allowed);
    }

    /** Whether the prompt could start if one of the engines had room. */
    public boolean isFull() {
        return withRoom.isEmpty() && !allowed.isEmpty();
    }
}
