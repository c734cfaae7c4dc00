package io.agatelane.node.api;

import java.util.Map;

/**
 * State of an engine as it tells it.
 *
 * @param incarnation start time in milliseconds since 1970
 * @param busy whether an order is in progress
 * @param acceptedOrders number of orders accepted since the start
 * @param weightsVersions model to loaded version
 */
public record EngineStatus(long incarnation, boolean busy, long acceptedOrders, Map<String, Long> weightsVersions) {
    public EngineStatus {
        weightsVersions = Map.copyOf(weightsVersions);
    }
}
