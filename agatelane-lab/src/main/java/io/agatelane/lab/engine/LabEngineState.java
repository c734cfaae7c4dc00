package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Model, weights and role of an engine, which orders can change.
 *
 * @param loading whether weights are being loaded, during which requests are refused
 */
record LabEngineState(
        long fencingNumber, String model, String weightsVersion, String adapter, String role, boolean loading) {
    static LabEngineState initial(EngineSettings settings) {
        return new LabEngineState(0, settings.model(), settings.weightsVersion(), "", "serving", false);
    }

    boolean hasSameWeights(LabEngineState other) {
        return model.equals(other.model)
                && weightsVersion.equals(other.weightsVersion)
                && adapter.equals(other.adapter);
    }

    LabEngineState withFencingNumber(long newFencingNumber) {
        return new LabEngineState(newFencingNumber, model, weightsVersion, adapter, role, loading);
    }

    LabEngineState withLoading(boolean newLoading) {
        return new LabEngineState(fencingNumber, model, weightsVersion, adapter, role, newLoading);
    }

    ObjectNode toJson() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("fencing_number", fencingNumber)
                .put("model", model)
                .put("weights_version", weightsVersion)
                .put("adapter", adapter)
                .put("role", role)
                .put("loading", loading);
    }
}
