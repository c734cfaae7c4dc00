package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.EngineProfile;
import io.agatelane.core.fleet.Prompt;

/**
 * A prompt that needs an engine.
 *
 * @param priority order in which engines admit it, 0 (first) to 9
 * @param newestVersion newest weights that the operator named; 0 when unknown
 * @param objectiveMillis time to the first token that its route aims at
 */
public record PromptRequest(
        Prompt prompt, EngineProfile profile, int priority, long newestVersion, long objectiveMillis) {}
