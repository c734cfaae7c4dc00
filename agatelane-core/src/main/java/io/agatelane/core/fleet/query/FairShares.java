package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.ServiceDemand.Key;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides the capacity of one service between accounts and kinds of requests.
 *
 * <p>Accounts get equal shares; what an account does not need goes to the others (max-min fairness, weight 1 each).
 * Within the share of an account, the more urgent requests go first, but each priority keeps a small part. Demand whose
 * account is not stated (account 0) is the sum over many accounts, so it is served in proportion to the whole demand.
 */
public final class FairShares {
    // Part of an account's share that each of its priorities keeps: some responses for each kind, so that its callers
    // see that the service works, without a loss that matters to the urgent ones.
    private static final double MIN_KIND_SHARE = 0.1;

    private FairShares() {}

    /**
     * Returns the fraction of each demand that is admitted, from 0 to 1.
     *
     * @param capacity work that the service does per second
     * @param demand requested work per second, in the unit of the capacity
     */
    public static Map<Key, Double> fractions(double capacity, Map<Key, Double> demand) {
        double total = demand.values().stream().mapToDouble(FairShares::valid).sum();
        Map<Key, Double> fractions = new HashMap<>();
        if (total <= capacity) {
            demand.keySet().forEach(key -> fractions.put(key, 1.0));
            return fractions;
        }
        double common = Math.max(0, capacity) / total;
        Map<Long, List<Key>> byAccount = new HashMap<>();
        Map<Long, Double> byAccountDemand = new HashMap<>();
        double left = Math.max(0, capacity);
        for (Map.Entry<Key, Double> entry : demand.entrySet()) {
            Key key = entry.getKey();
            if (key.account() == 0) {
                fractions.put(key, common);
                left -= common * valid(entry.getValue());
            } else {
                byAccount
                        .computeIfAbsent(key.account(), unused -> new ArrayList<>())
                        .add(key);
                byAccountDemand.merge(key.account(), valid(entry.getValue()), Double::sum);
            }
        }
        double level = level(left, byAccountDemand);
        byAccount.forEach(
                (account, keys) -> divide(Math.min(level, byAccountDemand.get(account)), keys, demand, fractions));
        return fractions;
    }

    /** Returns the largest share of an account with which the shares of all accounts fit into the capacity. */
    static double level(double capacity, Map<Long, Double> demands) {
        double left = Math.max(0, capacity);
        List<Double> sorted = demands.values().stream().sorted().toList();
        for (int i = 0; i < sorted.size(); i++) {
            double equal = left / (sorted.size() - i);
            if (sorted.get(i) > equal) {
                return equal;
            }
            left -= sorted.get(i);
        }
        return Double.MAX_VALUE;
    }

    private static void divide(double share, List<Key> keys, Map<Key, Double> demand, Map<Key, Double> fractions) {
        Map<Key, Double> given = new HashMap<>();
        double left = share;
        for (Key key : keys) {
            double kept = Math.min(valid(demand.get(key)), share * Math.min(MIN_KIND_SHARE, 1.0 / keys.size()));
            given.put(key, kept);
            left -= kept;
        }
        List<Key> mostUrgentFirst =
                keys.stream().sorted(Comparator.comparingInt(Key::priority)).toList();
        for (Key key : mostUrgentFirst) {
            double wanted = valid(demand.get(key));
            double more = Math.max(0, Math.min(left, wanted - given.get(key)));
            left -= more;
            fractions.put(key, wanted <= 0 ? 1 : Math.min(1, (given.get(key) + more) / wanted));
        }
    }

    private static double valid(double demand) {
        return Double.isFinite(demand) ? Math.max(0, demand) : 0;
    }
}
