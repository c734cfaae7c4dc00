package io.agatelane.core.fleet.command;

import io.agatelane.core.fleet.OutputEstimate;
import io.agatelane.core.fleet.RequestSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the number of output tokens of prompts, from the caller's estimate and from what earlier requests of the same
 * route and account took. Thread-safe.
 *
 * <p>Each of the two counts by its own earlier errors, so callers whose estimates are far off are believed less.
 */
public final class OutputTokens {
    // About the last three hundred requests of a route or account count.
    private static final double DECAY = 0.997;
    // Requests of an account after which its own distribution counts as much as that of its route.
    private static final double ACCOUNT_WEIGHT = 20;
    // Weight after which further requests of an account add little to the distribution of their route, so that one
    // account with many unusual requests does not determine the estimate of the others.
    private static final double ACCOUNT_SHARE_WEIGHT = 5;
    // Count that an account decays to when it has no request among the last 800 of its route.
    private static final double FORGOTTEN_COUNT = 0.1;
    private static final int MAX_ACCOUNTS = 1_000;
    private static final int MAX_ROUTES = 200;
    private static final double HIGH = 0.9;
    // Assumed errors, as squared logarithms, before any was observed: a hint is within a factor of two, the maximum is
    // the only other clue.
    private static final double HINT_ERROR = 0.5;
    private static final double HISTORY_ERROR = 1;
    private static final double ERROR_SHARE = 0.02;
    // Largest error, as a squared logarithm, that one request counts with.
    private static final double MAX_ERROR = 4;
    // Output that is assumed without a hint and without earlier requests, as a share of the maximum.
    private static final double ASSUMED_SHARE = 0.5;

    private final Map<String, History> routes = bounded(MAX_ROUTES);
    private final Map<String, History> accounts = bounded(MAX_ACCOUNTS);
    private final Map<String, Errors> errors = bounded(MAX_ROUTES);

    private static final class History {
        private final DecayedHistogram tokens = new DecayedHistogram(DECAY);
        // Recent requests by account, for the limit of an account's weight.
        private final Map<String, Double> byAccount = new HashMap<>();
    }

    private static final class Errors {
        private double hint = HINT_ERROR;
        private double history = HISTORY_ERROR;
    }

    /** Returns the expected output of a request. */
    public synchronized OutputEstimate estimate(RequestSource source) {
        double maxTokens = Math.max(1, source.maxTokens());
        double history = history(source, 0.5);
        double high = Math.max(history, history(source, HIGH));
        double tokens = history;
        if (source.hintTokens().isPresent()) {
            Errors known = errors.getOrDefault(source.route(), new Errors());
            double hintWeight = known.history / (known.history + known.hint);
            double hint = Math.max(1, source.hintTokens().getAsInt());
            tokens = Math.exp(hintWeight * Math.log(hint) + (1 - hintWeight) * Math.log(history));
        }
        double limited = Math.max(1, Math.min(maxTokens, tokens));
        return new OutputEstimate(limited, Math.max(limited, Math.min(maxTokens, high)));
    }

    /** Records the output of a complete response. */
    public synchronized void record(RequestSource source, int tokens) {
        if (tokens <= 0) {
            return;
        }
        Errors known = errors.computeIfAbsent(source.route(), name -> new Errors());
        known.history += ERROR_SHARE * (squaredError(history(source, 0.5), tokens) - known.history);
        source.hintTokens().ifPresent(hint -> known.hint += ERROR_SHARE * (squaredError(hint, tokens) - known.hint));
        History route = routes.computeIfAbsent(source.route(), name -> new History());
        route.byAccount.replaceAll((account, count) -> count * DECAY);
        double count = route.byAccount.merge(source.account(), 1.0, Double::sum);
        route.byAccount.values().removeIf(decayed -> decayed < FORGOTTEN_COUNT);
        route.tokens.record(tokens, Math.min(1, ACCOUNT_SHARE_WEIGHT / count));
        accounts.computeIfAbsent(accountKey(source), key -> new History())
                .tokens
                .record(tokens, 1);
    }

    // The quantile of the route, moved towards that of the account by the number of its requests.
    private double history(RequestSource source, double fraction) {
        History route = routes.get(source.route());
        History account = accounts.get(accountKey(source));
        double ofRoute = route == null
                ? Math.max(1, source.maxTokens() * ASSUMED_SHARE)
                : Math.max(1, route.tokens.quantile(fraction));
        if (account == null) {
            return ofRoute;
        }
        double weight = account.tokens.weight() / (account.tokens.weight() + ACCOUNT_WEIGHT);
        double ofAccount = Math.max(1, account.tokens.quantile(fraction));
        return Math.exp(weight * Math.log(ofAccount) + (1 - weight) * Math.log(ofRoute));
    }

    private static double squaredError(double estimate, double actual) {
        double log = Math.log(Math.max(1, estimate) / actual);
        return Math.min(MAX_ERROR, log * log);
    }

    private static String accountKey(RequestSource source) {
        return source.route() + '/' + source.account();
    }

    // Keeps the entries that were used last.
    private static <V> Map<String, V> bounded(int size) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > size;
            }
        };
    }
}
