package io.agatelane.node.cfg;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of one router, read once when it starts.
 *
 * @param httpAddress where callers connect
 * @param rpcAddress where operators connect (gRPC)
 * @param peerAddress where other routers connect: TCP requests and UDP gossip on the same port
 * @param platformUrl base URL of the platform's key-value service
 * @param platformTimeoutMillis timeout of one platform call
 * @param platformCallsPerSecond largest sustained rate of platform calls of this router
 * @param seeds addresses of peers that the membership contacts at the start
 * @param maxBodyBytes largest body of a caller's request
 * @param maxAnswerBytes largest response of a service that is stored with its booking
 * @param drainDelayMillis time between failing the readiness check and refusing new requests
 * @param graceMillis longest wait for running requests at a shutdown
 * @param randomSeed seed of all random choices; 0 derives one from the VM's name and start time
 */
public record Settings(
        String vmName,
        String availabilityZone,
        String region,
        InetSocketAddress httpAddress,
        InetSocketAddress rpcAddress,
        InetSocketAddress peerAddress,
        String platformUrl,
        int platformTimeoutMillis,
        int platformCallsPerSecond,
        List<InetSocketAddress> seeds,
        int maxBodyBytes,
        int maxAnswerBytes,
        int drainDelayMillis,
        int graceMillis,
        long randomSeed) {
    public Settings {
        seeds = List.copyOf(seeds);
    }
}
