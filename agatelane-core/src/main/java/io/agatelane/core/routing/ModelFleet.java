package io.agatelane.core.routing;

import io.agatelane.core.hash.Rendezvous;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/** The engines that are ready to serve one weights version of a model, with their hashes in arrays for fast scans. */
public final class ModelFleet {
    private static final AtomicLong GENERATIONS = new AtomicLong();

    private final long generation = GENERATIONS.incrementAndGet();
    private final String model;
    private final String weightsVersion;
    private final UpstreamState[] members;
    private final long[] nodeHashes;
    private final int[] foldedHashes;
    private final long[] sortedHashes;
    private final int[] indexesByHash;
    private final int[] localIndexes;

    /**
     * Selects the ready engines and keeps their order.
     *
     * @param all all known engines, in name order
     * @param localZone availability zone of this router
     */
    public ModelFleet(String model, String weightsVersion, List<UpstreamState> all, String localZone) {
        this.model = model;
        this.weightsVersion = weightsVersion;
        this.members = all.stream()
                .filter(state -> state.isReady(model, weightsVersion))
                .toArray(UpstreamState[]::new);
        this.nodeHashes = new long[members.length];
        this.foldedHashes = new int[members.length];
        int[] local = new int[members.length];
        int localCount = 0;
        for (int i = 0; i < members.length; i++) {
            nodeHashes[i] = members[i].nodeHash();
            foldedHashes[i] = Rendezvous.fold(nodeHashes[i]);
            if (members[i].availabilityZone().equals(localZone)) {
                local[localCount++] = i;
            }
        }
        this.localIndexes = Arrays.copyOf(local, localCount);
        this.indexesByHash = IntStream.range(0, members.length)
                .boxed()
                .sorted(Comparator.comparingLong(i -> nodeHashes[i]))
                .mapToInt(Integer::intValue)
                .toArray();
        this.sortedHashes =
                Arrays.stream(indexesByHash).mapToLong(i -> nodeHashes[i]).toArray();
    }

    /** Returns a number that is unique to this fleet within the process; never 0. */
    public long generation() {
        return generation;
    }

    public String model() {
        return model;
    }

    public String weightsVersion() {
        return weightsVersion;
    }

    /** Whether an engine is still ready for this model and weights version. */
    public boolean isReady(UpstreamState upstream) {
        return upstream.isReady(model, weightsVersion);
    }

    public int size() {
        return members.length;
    }

    public UpstreamState member(int index) {
        return members[index];
    }

    /**
     * Finds the preferred engines of a key: those with the highest rendezvous weights; of equal weights the first name
     * wins.
     *
     * @param indexes receives the indexes of the engines, highest weight first
     * @param weights scratch space for at least {@link #size} weights
     * @return the number of indexes written: the length of {@code indexes}, or the number of engines if that is smaller
     */
    public int findPreferred(long key, int[] indexes, int[] weights) {
        Rendezvous.weights(Rendezvous.fold(key), foldedHashes, weights);
        int wanted = indexes.length;
        int found = 0;
        int lowest = Integer.MIN_VALUE;
        for (int i = 0; i < foldedHashes.length; i++) {
            int weight = weights[i];
            if (weight <= lowest && found == wanted) {
                continue;
            }
            int position = found < wanted ? found++ : wanted - 1;
            while (position > 0 && weight > weights[indexes[position - 1]]) {
                indexes[position] = indexes[position - 1];
                position--;
            }
            indexes[position] = i;
            lowest = weights[indexes[found - 1]];
        }
        return found;
    }

    /** Returns the index of the engine with a node hash; -1 when no ready engine has it. */
    public int indexOf(long nodeHash) {
        int position = Arrays.binarySearch(sortedHashes, nodeHash);
        return position < 0 ? -1 : indexesByHash[position];
    }

    /** Returns the number of engines in this router's availability zone. */
    public int localCount() {
        return localIndexes.length;
    }

    /**
     * Returns the index of an engine in this router's availability zone.
     *
     * @param position from 0 to {@link #localCount} (exclusive)
     */
    public int localMemberIndex(int position) {
        return localIndexes[position];
    }
}
