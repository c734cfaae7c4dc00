package io.agatelane.core.fleet;

import io.agatelane.core.limits.AccountLimit;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Immutable lookup tables for one version of the operator's configuration. */
public final class FleetConfig {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, FleetService> services;
    private final List<CacheStore> cacheStores;
    private final Map<String, FleetAccount> accountsByKey;
    private final Map<Long, AccountLimit> accountLimits = new HashMap<>();
    private final boolean hasAccounts;
    private final CallerLimits limits;
    private final PriorityLevels priorityLevels;

    /**
     * Builds the lookup tables.
     *
     * @param accountsByKey API key to account
     * @param hasAccounts whether client accounts are configured, so that requests to non-public routes need an API key
     */
    public FleetConfig(
            long version,
            List<Route> routes,
            Map<String, FleetService> services,
            List<CacheStore> cacheStores,
            Map<String, FleetAccount> accountsByKey,
            boolean hasAccounts,
            CallerLimits limits) {
        this.version = version;
        this.services = Map.copyOf(services);
        this.cacheStores = List.copyOf(cacheStores);
        this.accountsByKey = Map.copyOf(accountsByKey);
        accountsByKey.values().forEach(account -> account.limit()
                .ifPresent(limit -> accountLimits.put(account.nameHash(), limit)));
        this.hasAccounts = hasAccounts;
        this.limits = limits;
        this.priorityLevels = PriorityLevels.of(
                accountsByKey.values().stream().map(FleetAccount::priority).toList(),
                routes.stream().map(Route::priority).toList());
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst.reversed()));
    }

    public long version() {
        return version;
    }

    /** Returns the route of the host whose path prefix is the longest that matches the path. */
    public Optional<Route> route(String host, String path) {
        List<Route> candidates = routesByHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (candidates == null) {
            return Optional.empty();
        }
        return candidates.stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    public Optional<FleetService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the first configured store for KV cache contents. */
    public Optional<CacheStore> cacheStore() {
        return cacheStores.stream().findFirst();
    }

    public Optional<FleetAccount> accountOf(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Rate limits of the accounts that have one, by hash of the account's name. */
    public Map<Long, AccountLimit> accountLimits() {
        return Collections.unmodifiableMap(accountLimits);
    }

    /** Whether requests to routes that are not public need an API key. */
    public boolean requiresApiKey() {
        return hasAccounts;
    }

    /** Urgency of the requests by the priorities of their account and route. */
    public PriorityLevels priorityLevels() {
        return priorityLevels;
    }

    public CallerLimits limits() {
        return limits;
    }

    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
    }
}
