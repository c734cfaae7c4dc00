package io.agatelane.node.cfg;

import java.net.InetSocketAddress;

/**
 * Settings of a fleet router.
 *
 * @param callerAddress where callers connect
 * @param readinessAddress where the platform asks whether this router takes new connections
 * @param metricsAddress where metrics are read
 * @param peerAddress where other routers send hints over UDP
 * @param storeAddress IP:PORT of the platform's store
 * @param storeTimeoutMillis longest wait for an answer of the store
 * @param pollMillis pause between two reads of the store
 * @param maxProofMillis age of the configuration up to which a request with an API key is sent on
 * @param graceMillis time between SIGTERM and the end of the process
 * @param leaseMillis shortest time between the orders of two holders
 * @param upstreamsCheckFencing whether engines refuse orders with a lower fencing token than one they have seen
 * @param weightsMillis time after which no request may begin on replaced weights
 * @param retryRatio repeated sends that all routers may make for each request
 * @param retrySlack repeated sends besides, of all routers together
 * @param retryWindowMillis window of the two figures before
 * @param crossZoneMillis preference for upstreams in the own availability zone
 * @param prefillTokensPerMilli prompt tokens that an engine reads in a millisecond
 */
public record FleetSettings(
        String vmName,
        String zone,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress peerAddress,
        String storeAddress,
        long storeTimeoutMillis,
        long pollMillis,
        long maxProofMillis,
        long graceMillis,
        long leaseMillis,
        boolean upstreamsCheckFencing,
        long weightsMillis,
        double retryRatio,
        int retrySlack,
        long retryWindowMillis,
        double crossZoneMillis,
        double prefillTokensPerMilli) {}
