package io.agatelane.node.cfg;

import java.net.InetSocketAddress;

/**
 * Settings of a fleet router.
 *
 * @param callerAddress where callers connect
 * @param readinessAddress where the platform checks whether this router takes new connections
 * @param metricsAddress where metrics are read
 * @param peerAddress where other routers send hints over UDP
 * @param storeAddress IP:PORT of the platform's store
 * @param storeTimeoutMillis longest wait for a response of the store
 * @param pollMillis pause between two reads of the store
 * @param maxConfigAgeMillis longest time since the configuration was last verified as current; a request with an API
 *     key is not forwarded when more time has passed
 * @param graceMillis time between SIGTERM and the end of the process
 * @param leaseMillis shortest time between the orders of two successive lease holders
 * @param upstreamsCheckFencing whether engines refuse orders with a lower fencing token than one they have seen
 * @param weightsMillis time after which no request may start on weights that a newer version replaces
 * @param retryRatio retries that all routers together may make for each request
 * @param retrySlack retries that all routers together may make in addition
 * @param retryWindowMillis time window to which {@code retryRatio} and {@code retrySlack} apply
 * @param limitWindowMillis time window in which the units admitted for an account are judged
 * @param limitTolerance share of an account's limit by which its use in a window may exceed it
 * @param limitSlack units by which an account's use in a window may exceed its limit in addition
 * @param crossZoneMillis penalty in milliseconds for upstreams in another availability zone than this router
 * @param prefillTokensPerMilli prompt tokens that an engine prefills in a millisecond
 * @param maxResponseHeadBytes largest head of a response
 * @param maxResponseBodyBytes largest body of an upstream's response
 * @param heldBytes limits of the bytes that the router holds for its requests
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
        long maxConfigAgeMillis,
        long graceMillis,
        long leaseMillis,
        boolean upstreamsCheckFencing,
        long weightsMillis,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        long limitWindowMillis,
        double limitTolerance,
        double limitSlack,
        double crossZoneMillis,
        double prefillTokensPerMilli,
        int maxResponseHeadBytes,
        long maxResponseBodyBytes,
        HeldBytes heldBytes) {}
