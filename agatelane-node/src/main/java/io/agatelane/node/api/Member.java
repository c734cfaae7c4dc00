package io.agatelane.node.api;

/**
 * A router as the membership protocol currently knows it.
 *
 * @param incarnation larger for each start of the process and each refuted suspicion
 * @param peerAddress {@code IP:PORT} of TCP requests and UDP gossip
 * @param configRevision the configuration revision in force there, as last received
 */
public record Member(
        String name,
        long incarnation,
        MemberState state,
        String peerAddress,
        String availabilityZone,
        long configRevision) {}
