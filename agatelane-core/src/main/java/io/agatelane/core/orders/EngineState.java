package io.agatelane.core.orders;

/** State that an engine reports about itself; orders change it. */
public record EngineState(String model, String weightsVersion, String adapter, String role) {}
