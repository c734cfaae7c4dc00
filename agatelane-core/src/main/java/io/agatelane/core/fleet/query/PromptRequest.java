package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.EngineProfile;
import io.agatelane.core.fleet.Interference;
import io.agatelane.core.fleet.Prompt;

/**
 * A prompt that has to be assigned to an engine, with the requirements of its request.
 *
 * @param priority priority with which engines admit the request, 0 (first) to 9
 * @param newestVersion newest weights version that the operator has requested; 0 when unknown
 * @param objectiveMillis latency objective of the route: desired time to the first token
 * @param prefillTokensPerMilli prompt tokens that an engine prefills per millisecond
 * @param interferenceShare delay of the first token per millisecond of prefill of less urgent prompts at the engine
 */
public record PromptRequest(
        Prompt prompt,
        EngineProfile profile,
        int priority,
        long newestVersion,
        long objectiveMillis,
        double prefillTokensPerMilli,
        double interferenceShare) {
    /** Creates a request with the assumed interference of other prompts. */
    public PromptRequest(
            Prompt prompt,
            EngineProfile profile,
            int priority,
            long newestVersion,
            long objectiveMillis,
            double prefillTokensPerMilli) {
        this(
                prompt,
                profile,
                priority,
                newestVersion,
                objectiveMillis,
                prefillTokensPerMilli,
                Interference.ASSUMED_SHARE);
    }
}
