package io.agatelane.node.api;

/** The interfaces through which a fleet router meets the platform. */
public record FleetPorts(
        ConditionalStore store,
        FleetSource source,
        CallerProtocol callers,
        UpstreamProtocol upstreams,
        EngineControl engines) {}
