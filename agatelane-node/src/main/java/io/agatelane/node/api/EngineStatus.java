package io.agatelane.node.api;

import java.util.Map;

/**
 * State that an engine reports about itself.
 *
 * @param incarnation start time in milliseconds since 1970
 * @param busy whether an order is in progress
 * @param acceptedOrders number of orders accepted since the start
 * @param weightsVersions loaded version by model name
 */
public record EngineStatus(long incarnation, boolean busy, long acceptedOrders, Map<String, Long> weightsVersions) {
    public EngineStatus {
        weightsVersions = Map.copyOf(weightsVersions);
    }
}
