package io.agatelane.core.orders;

/**
 * Stored order of an engine, written to the engine's order key before the order is sent.
 *
 * @param configRevision revision of the configuration that requires the desired state
 * @param fencingNumber revision of the order key before this write
 * @param holderVm VM of the router that sends the order
 * @param done whether the engine has reported the desired state
 */
public record OrderRecord(
        String upstream,
        DesiredState desired,
        long configRevision,
        long fencingNumber,
        String holderVm,
        long holderIncarnation,
        boolean done) {}
