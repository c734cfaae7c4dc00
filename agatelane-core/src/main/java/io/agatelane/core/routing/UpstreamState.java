package io.agatelane.core.routing;

import io.agatelane.core.hash.Rendezvous;
import java.util.Arrays;

/**
 * State of one engine as observed by this router. Load reports are immutable and replaced as a whole; the counts of
 * this router's own requests are guarded by the object's lock.
 */
public final class UpstreamState {
    // A power of two, so that the low bits of a bucket's number are its array index.
    private static final int BUCKETS = 64;
    // Buckets of 64 ms.
    private static final int BUCKET_MILLIS_SHIFT = 6;
    private static final int DELTA_BITS = 16;
    // Weight of a new service time; low, so that one unusual request does not change the estimate much.
    private static final double SERVICE_TIME_SAMPLE_WEIGHT = 0.1;
    private static final double DEFAULT_SERVICE_MILLIS = 1_000;
    // Weight of a new latency; high, because engines become stragglers and recover within seconds.
    private static final double LATENCY_SAMPLE_WEIGHT = 0.3;
    private static final double PROBE_SAMPLE_WEIGHT = 0.6;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String name;
    private final long nodeHash;
    private final String availabilityZone;
    private volatile LoadReport report;
    private volatile long engineKey;
    private volatile boolean reachable;
    private volatile boolean leavingByConfig;
    private volatile boolean leavingByPeer;
    private volatile long leavingByPeerMillis;
    private volatile boolean probation;
    private volatile double roundTripMillis;

    // Changes of the number of requests by time: a bucket's number in the upper bits and its delta in the lower 16, so
    // that a scan reads one array.
    private final long[] buckets = new long[BUCKETS];
    private int hintEpoch;
    private int inFlight;
    private int longInFlight;
    private long pendingPrefillTokens;
    private double serviceMillis = DEFAULT_SERVICE_MILLIS;
    private double latencyFactor = 1;
    private long lastLatencySampleMillis = NEVER;
    private long lastProbeMillis = NEVER;

    public UpstreamState(String name, String availabilityZone, double roundTripMillis) {
        this.name = name;
        this.nodeHash = Rendezvous.hash(name);
        this.availabilityZone = availabilityZone;
        this.roundTripMillis = roundTripMillis;
        Arrays.fill(buckets, Long.MIN_VALUE);
    }

    public String name() {
        return name;
    }

    public long nodeHash() {
        return nodeHash;
    }

    public String availabilityZone() {
        return availabilityZone;
    }

    /** Returns the last report; null before the first one. */
    public LoadReport report() {
        return report;
    }

    public void setReport(LoadReport newReport) {
        // Hints of the old incarnation must not match once the new report is visible.
        synchronized (this) {
            engineKey = hintKey(newReport.incarnation());
            report = newReport;
        }
    }

    /** Returns the key of hints about an incarnation; it changes when the hints are invalidated. */
    public synchronized long hintKey(String incarnation) {
        return Rendezvous.weight(HintTable.engineKey(nodeHash, incarnation), hintEpoch);
    }

    /** Invalidates all hints about this engine. */
    public synchronized void invalidateHints() {
        hintEpoch++;
        if (report != null) {
            engineKey = hintKey(report.incarnation());
        }
    }

    /** Returns the key of hints about the incarnation in the last report. */
    public long engineKey() {
        return engineKey;
    }

    public boolean reachable() {
        return reachable;
    }

    public void setReachable(boolean newReachable) {
        reachable = newReachable;
    }

    /** Whether the engine is leaving according to the configuration or another router. */
    public boolean isDraining() {
        return leavingByConfig || leavingByPeer;
    }

    public void setDrainingByConfig(boolean newLeaving) {
        leavingByConfig = newLeaving;
    }

    public boolean drainingByPeer() {
        return leavingByPeer;
    }

    /** Returns the time at which another router last reported whether the engine is leaving. */
    public long drainingByPeerMillis() {
        return leavingByPeerMillis;
    }

    public void setDrainingByPeer(boolean newLeaving, long nowMillis) {
        leavingByPeerMillis = nowMillis;
        leavingByPeer = newLeaving;
    }

    /** Whether the engine is on probation: it is slow and receives only probe requests. */
    public boolean probation() {
        return probation;
    }

    public void setProbation(boolean newProbation) {
        probation = newProbation;
    }

    public double roundTripMillis() {
        return roundTripMillis;
    }

    public void setRoundTripMillis(double millis) {
        roundTripMillis = millis;
    }

    /** Whether the engine may receive new requests for a model and weights version. */
    public boolean isReady(String model, String weightsVersion) {
        LoadReport current = report;
        return reachable
                && !isDraining()
                && current != null
                && !current.draining()
                && current.model().equals(model)
                && current.weightsVersion().equals(weightsVersion);
    }

    /**
     * Counts a request of this router as sent.
     *
     * @param prefillTokens prompt tokens that are expected not to be cached
     */
    public synchronized void recordSent(long prefillTokens, boolean longRequest, long nowMillis) {
        inFlight++;
        longInFlight += longRequest ? 1 : 0;
        pendingPrefillTokens += prefillTokens;
        addDelta(1, nowMillis);
    }

    /** Subtracts the prefill tokens of a request that has received its first token or ended without one. */
    public synchronized void recordPrefillEnded(long prefillTokens) {
        pendingPrefillTokens = Math.max(0, pendingPrefillTokens - prefillTokens);
    }

    /** Counts a request of this router as finished. */
    public synchronized void recordFinished(boolean longRequest, long nowMillis) {
        inFlight--;
        longInFlight -= longRequest ? 1 : 0;
        addDelta(-1, nowMillis);
    }

    /** Adds the observed service time of a completed request to the estimate. */
    public synchronized void recordServiceMillis(double millis) {
        serviceMillis += SERVICE_TIME_SAMPLE_WEIGHT * (millis - serviceMillis);
    }

    /**
     * Adds a sample of the ratio of observed to expected time to first token.
     *
     * @param factor 1 when the engine was as fast as expected, 2 when it took twice as long
     */
    public synchronized void recordLatencyFactor(double factor, long nowMillis) {
        // Probes are few and decide whether the probation ends, so they have a higher weight.
        double weight = probation ? PROBE_SAMPLE_WEIGHT : LATENCY_SAMPLE_WEIGHT;
        latencyFactor += weight * (factor - latencyFactor);
        lastLatencySampleMillis = nowMillis;
    }

    /** Returns the recent ratio of observed to expected time to first token. */
    public synchronized double latencyFactor() {
        return latencyFactor;
    }

    /** Returns the time of the last latency sample. */
    public synchronized long lastLatencySampleMillis() {
        return lastLatencySampleMillis;
    }

    /** Discards the latency samples, so that an engine without recent requests counts as normally fast. */
    public synchronized void resetLatency() {
        latencyFactor = 1;
        lastLatencySampleMillis = NEVER;
    }

    public synchronized void recordProbe(long nowMillis) {
        lastProbeMillis = nowMillis;
    }

    /** Returns the time of the last probe during a probation. */
    public synchronized long lastProbeMillis() {
        return lastProbeMillis;
    }

    /** Returns the number of requests of this router that are in flight on the engine. */
    public synchronized int inFlight() {
        return inFlight;
    }

    /** Returns the number of long requests of this router that are in flight on the engine. */
    public synchronized int longInFlight() {
        return longInFlight;
    }

    public synchronized long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    public synchronized double serviceMillis() {
        return serviceMillis;
    }

    /**
     * Returns the number of requests sent minus the number finished by this router since a time; the last 4 s count at
     * most.
     */
    public synchronized int requestDeltaSince(long sinceMillis, long nowMillis) {
        int sum = 0;
        long last = nowMillis >> BUCKET_MILLIS_SHIFT;
        long first = Math.max(sinceMillis >> BUCKET_MILLIS_SHIFT, last - BUCKETS + 1);
        for (long bucket = first; bucket <= last; bucket++) {
            long packed = buckets[(int) bucket & (BUCKETS - 1)];
            // A request in the same bucket as the measurement counts as not included in it: for one bucket, an engine
            // may look busier than it is, but never idle while it is busy.
            sum += packed >> DELTA_BITS == bucket ? (short) packed : 0;
        }
        return sum;
    }

    /** Copies all values that a score needs, consistently with each other. */
    public synchronized void readInto(LoadView view, long nowMillis) {
        LoadReport current = report;
        view.set(
                current,
                Math.max(
                        inFlight,
                        current.running()
                                + current.waiting()
                                + requestDeltaSince(current.measuredAtMillis(), nowMillis)),
                longInFlight,
                pendingPrefillTokens,
                serviceMillis,
                lastProbeMillis);
    }

    private void addDelta(int delta, long nowMillis) {
        long bucket = nowMillis >> BUCKET_MILLIS_SHIFT;
        int index = (int) bucket & (BUCKETS - 1);
        int sum = buckets[index] >> DELTA_BITS == bucket ? (short) buckets[index] : 0;
        buckets[index] = (bucket << DELTA_BITS) | ((sum + delta) & 0xFFFF);
    }
}
