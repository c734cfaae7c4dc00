package io.agatelane.node.api;

/** The interfaces through which a fleet router uses one platform: its store, its HTTP conventions and its engines. */
public record FleetPorts(
        ConditionalStore store,
        FleetSource fleetSource,
        CallerProtocol callerProtocol,
        UpstreamProtocol upstreamProtocol,
        EngineControl engineControl) {}
