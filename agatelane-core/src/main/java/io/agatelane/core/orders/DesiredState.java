package io.agatelane.core.orders;

/**
 * State into which orders bring an engine.
 *
 * @param adapter adapter to load; empty leaves the current adapter unchanged
 * @param role role to take; empty leaves the current role unchanged
 */
public record DesiredState(String model, String weightsVersion, String adapter, String role) {
    /** Returns whether an engine with the given state is in this desired state. */
    public boolean isMetBy(EngineState state) {
        return !needsWeightLoad(state)
                && (adapter.isEmpty() || adapter.equals(state.adapter()))
                && (role.isEmpty() || role.equals(state.role()));
    }

    /** Returns whether an engine with the given state has to load weights to reach this desired state. */
    public boolean needsWeightLoad(EngineState state) {
        return !model.equals(state.model()) || !weightsVersion.equals(state.weightsVersion());
    }
}
