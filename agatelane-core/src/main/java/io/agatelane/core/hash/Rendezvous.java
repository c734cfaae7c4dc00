package io.agatelane.core.hash;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.ToLongFunction;

/** Rendezvous hashing, also called highest random weight hashing: a key belongs to the node with the highest weight. */
public final class Rendezvous {
    private Rendezvous() {}

    /** Returns the hash of a name, which is the same in all processes and versions. */
    public static long hash(String name) {
        return Hashing.xxh3_64().hashBytesToLong(name.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the weight of a node for a key, computed from the hashes of both; weights compare as unsigned numbers.
     */
    public static long weight(long keyHash, long nodeHash) {
        // The finaliser of SplitMix64 mixes both hashes so that every input bit changes every output bit.
        long mixed = keyHash ^ Long.rotateLeft(nodeHash, 32) ^ nodeHash * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    /** Folds a hash to the 32 bits that {@link #weights} takes as input. */
    public static int fold(long hash) {
        long mixed = hash * 0x9E3779B97F4A7C15L;
        return (int) (mixed >>> 32);
    }

    /**
     * Computes 32-bit weights of many nodes for one key. The loop has int operations only, so that the compiler can
     * turn it into vector instructions, which on most processors it cannot do with 64-bit multiplications.
     *
     * @param keyFold folded hash of the key
     * @param nodeFolds folded hashes of the nodes
     * @param weights receives the weights, which compare as signed numbers
     */
    public static void weights(int keyFold, int[] nodeFolds, int[] weights) {
        for (int i = 0; i < nodeFolds.length; i++) {
            // The finaliser of MurmurHash3 mixes all bits.
            int mixed = keyFold ^ nodeFolds[i];
            mixed = (mixed ^ (mixed >>> 16)) * 0x85EBCA6B;
            mixed = (mixed ^ (mixed >>> 13)) * 0xC2B2AE35;
            weights[i] = mixed ^ (mixed >>> 16);
        }
    }

    /** Returns the index of the node with the highest weight; -1 when there are no nodes. */
    public static <T> int indexOfHighest(long keyHash, List<T> nodes, ToLongFunction<T> nodeHash) {
        int best = -1;
        long bestWeight = 0;
        for (int i = 0; i < nodes.size(); i++) {
            long weight = weight(keyHash, nodeHash.applyAsLong(nodes.get(i)));
            if (best < 0 || Long.compareUnsigned(weight, bestWeight) > 0) {
                best = i;
                bestWeight = weight;
            }
        }
        return best;
    }
}
