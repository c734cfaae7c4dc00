package io.agatelane.core.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An immutable view of the whole configuration at one revision. */
public final class ConfigSnapshot {
    private final long revision;
    private final Map<String, ClientAccount> accounts;
    private final Map<String, Model> models;
    private final Map<String, RoutingPolicy> policies;
    private final Map<String, Service> services;
    private final Map<String, Upstream> upstreams;
    private final Map<String, ClientAccount> accountsByKeyDigest = new HashMap<>();
    private final Map<String, Service> servicesByPrefix = new HashMap<>();
    private final Map<String, List<Upstream>> upstreamsByModel = new HashMap<>();
    private final Map<String, List<Upstream>> upstreamsByService = new HashMap<>();

    private ConfigSnapshot(Builder builder) {
        this.revision = builder.revision;
        this.accounts = Map.copyOf(builder.accounts);
        this.models = Map.copyOf(builder.models);
        this.policies = Map.copyOf(builder.policies);
        this.services = Map.copyOf(builder.services);
        this.upstreams = Map.copyOf(builder.upstreams);
        buildIndexes();
    }

    /** Returns an empty configuration at revision 0. */
    public static ConfigSnapshot empty() {
        return new Builder().build();
    }

    public static Builder builder() {
        return new Builder();
    }

    public long revision() {
        return revision;
    }

    public Optional<ClientAccount> account(String name) {
        return Optional.ofNullable(accounts.get(name));
    }

    /** Finds the client account that owns an API key with this SHA-256 digest. */
    public Optional<ClientAccount> accountByApiKeySha256(String digest) {
        return Optional.ofNullable(accountsByKeyDigest.get(digest));
    }

    public Optional<Model> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    public Optional<Service> serviceByPathPrefix(String pathPrefix) {
        return Optional.ofNullable(servicesByPrefix.get(pathPrefix));
    }

    public Optional<Upstream> upstream(String name) {
        return Optional.ofNullable(upstreams.get(name));
    }

    /** Returns the engines that are configured for a model, in name order. */
    public List<Upstream> upstreamsOfModel(String model) {
        return upstreamsByModel.getOrDefault(model, List.of());
    }

    /** Returns the instances of a plain service, in name order. */
    public List<Upstream> upstreamsOfService(String service) {
        return upstreamsByService.getOrDefault(service, List.of());
    }

    public Collection<ClientAccount> accounts() {
        return accounts.values();
    }

    public Collection<Model> models() {
        return models.values();
    }

    public Collection<Service> services() {
        return services.values();
    }

    public Collection<Upstream> upstreams() {
        return upstreams.values();
    }

    /** Returns the client account's policy if it names a configured one, else the model's, else the default. */
    public RoutingPolicy policyFor(ClientAccount account, Model model) {
        return Optional.ofNullable(policies.get(account.routingPolicy()))
                .or(() -> Optional.ofNullable(policies.get(model.routingPolicy())))
                .orElse(RoutingPolicy.DEFAULT);
    }

    private void buildIndexes() {
        for (ClientAccount account : accounts.values()) {
            account.apiKeySha256().forEach(digest -> accountsByKeyDigest.put(digest, account));
        }
        services.values().forEach(service -> servicesByPrefix.put(service.pathPrefix(), service));
        List<String> names = new ArrayList<>(upstreams.keySet());
        names.sort(null);
        for (String name : names) {
            Upstream upstream = upstreams.get(name);
            for (String model : upstream.models()) {
                upstreamsByModel
                        .computeIfAbsent(model, key -> new ArrayList<>())
                        .add(upstream);
            }
            if (!upstream.isEngine()) {
                upstreamsByService
                        .computeIfAbsent(upstream.service(), key -> new ArrayList<>())
                        .add(upstream);
            }
        }
        upstreamsByModel.replaceAll((model, list) -> List.copyOf(list));
        upstreamsByService.replaceAll((service, list) -> List.copyOf(list));
    }

    /** Collects the objects of a snapshot; an object replaces an earlier one of the same kind and name. */
    public static final class Builder {
        private long revision;
        private final Map<String, ClientAccount> accounts = new HashMap<>();
        private final Map<String, Model> models = new HashMap<>();
        private final Map<String, RoutingPolicy> policies = new HashMap<>();
        private final Map<String, Service> services = new HashMap<>();
        private final Map<String, Upstream> upstreams = new HashMap<>();

        private Builder() {}

        public Builder revision(long newRevision) {
            this.revision = newRevision;
            return this;
        }

        public Builder add(ClientAccount account) {
            accounts.put(account.name(), account);
            return this;
        }

        public Builder add(Model model) {
            models.put(model.name(), model);
            return this;
        }

        public Builder add(RoutingPolicy policy) {
            policies.put(policy.name(), policy);
            return this;
        }

        public Builder add(Service service) {
            services.put(service.name(), service);
            return this;
        }

        public Builder add(Upstream upstream) {
            upstreams.put(upstream.name(), upstream);
            return this;
        }

        public ConfigSnapshot build() {
            return new ConfigSnapshot(this);
        }
    }
}
