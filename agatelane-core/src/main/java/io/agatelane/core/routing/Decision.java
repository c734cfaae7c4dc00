package io.agatelane.core.routing;

import java.util.Arrays;

/**
 * Candidates of one request with their scores, and the chosen one. Mutable, to be reused without allocation; used by
 * one thread at a time.
 */
public final class Decision {
    /** Maximum number of candidates that are scored. */
    public static final int MAX_CANDIDATES = 16;

    private final UpstreamState[] upstreams = new UpstreamState[MAX_CANDIDATES];
    private final double[] networkMillis = new double[MAX_CANDIDATES];
    private final double[] queueMillis = new double[MAX_CANDIDATES];
    private final double[] prefillMillis = new double[MAX_CANDIDATES];
    private final double[] cachedTokens = new double[MAX_CANDIDATES];
    private final boolean[] longRequest = new boolean[MAX_CANDIDATES];
    private final Exclusion[] exclusions = new Exclusion[MAX_CANDIDATES];
    private int count;
    private int best;

    /** Reason why a candidate must not be chosen, whatever its score. */
    public enum Exclusion {
        NONE(""),
        PROBATION("probation"),
        LONG_SHARE("long-share"),
        TRIED("already-tried"),
        NOT_READY("not-ready");

        private final String wireName;

        Exclusion(String wireName) {
            this.wireName = wireName;
        }

        public String wireName() {
            return wireName;
        }
    }

    /** Empties the decision for the next request. */
    public void reset() {
        Arrays.fill(upstreams, 0, count, null);
        count = 0;
        best = -1;
    }

    /**
     * Adds a candidate unless it is already present or the limit is reached.
     *
     * @return index of the candidate; -1 when it is not present and was not added
     */
    public int addCandidate(UpstreamState upstream, int limit) {
        for (int i = 0; i < count; i++) {
            if (upstreams[i] == upstream) {
                return i;
            }
        }
        if (count >= Math.min(limit, MAX_CANDIDATES)) {
            return -1;
        }
        upstreams[count] = upstream;
        return count++;
    }

    public void setScore(
            int index,
            double newNetworkMillis,
            double newQueueMillis,
            double newPrefillMillis,
            double newCachedTokens) {
        networkMillis[index] = newNetworkMillis;
        queueMillis[index] = newQueueMillis;
        prefillMillis[index] = newPrefillMillis;
        cachedTokens[index] = newCachedTokens;
    }

    /** Whether the request counts as long on this candidate; a cached prefix shortens it. */
    public boolean isLong(int index) {
        return longRequest[index];
    }

    public void setLong(int index, boolean isLong) {
        longRequest[index] = isLong;
    }

    public void setExclusion(int index, Exclusion exclusion) {
        exclusions[index] = exclusion;
    }

    public void setBest(int index) {
        best = index;
    }

    public int count() {
        return count;
    }

    /** Returns the index of the chosen candidate; -1 when there is none. */
    public int best() {
        return best;
    }

    public UpstreamState upstream(int index) {
        return upstreams[index];
    }

    public double networkMillis(int index) {
        return networkMillis[index];
    }

    public double queueMillis(int index) {
        return queueMillis[index];
    }

    public double prefillMillis(int index) {
        return prefillMillis[index];
    }

    /** Returns the number of prompt tokens expected to be in the candidate's cache. */
    public double cachedTokens(int index) {
        return cachedTokens[index];
    }

    public double totalMillis(int index) {
        return networkMillis[index] + queueMillis[index] + prefillMillis[index];
    }

    public Exclusion exclusion(int index) {
        return exclusions[index];
    }
}
