package io.agatelane.core.fleet.query;

import io.agatelane.core.fleet.CacheStore;
import io.agatelane.core.fleet.EngineProfile;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.PlacementIndex;
import io.agatelane.core.fleet.Prompt;
import io.agatelane.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Locates the engines and the store that hold the shared parts of one prompt in their KV cache.
 *
 * <p>Parts are looked up in the cache namespace of the engine's weights version and, for an isolated account, of the
 * account.
 */
public final class PrefixLocator {
    // Looking a shorter prefix up elsewhere takes as long as prefilling it again.
    private static final int MIN_TRANSFER_TOKENS = 100;
    // Prefilling a shorter prefix takes less time than waiting for the engine that is preferred for it.
    private static final int MIN_PREFERRED_TOKENS = 2_000;
    // Fixed part of a transfer: setup at both ends and the lookup at the source.
    private static final double TRANSFER_SETUP_MILLIS = 10;
    private static final double CROSS_ZONE_FACTOR = 2;
    // Share of an engine's memory that cached parts not in use occupy; running requests take the rest.
    private static final double ENGINE_CACHED_SHARE = 0.8;
    private static final double STORE_CACHED_SHARE = 0.8;

    private final PlacementIndex index;
    private final Prompt prompt;
    private final EngineProfile profile;
    private final Optional<CacheStore> store;
    private final Optional<String> isolatedAccount;
    private final List<Candidate> candidates;
    private final Map<Long, PrefixLocations> byVersion = new HashMap<>();

    /**
     * Locations of the shared parts for one weights version, looked up once per decision.
     *
     * @param part hash that identifies the shared prefix
     * @param holders engines that probably have the prefix, compared by identity
     * @param prefillingHolder hash of the engine that is prefilling the prefix
     */
    private record PrefixLocations(long part, Set<Candidate> holders, boolean inStore, OptionalLong prefillingHolder) {}

    /** Creates a locator for one prompt. Not thread-safe. */
    public PrefixLocator(
            PlacementIndex index,
            Prompt prompt,
            EngineProfile profile,
            Optional<CacheStore> store,
            Optional<String> isolatedAccount,
            List<Candidate> candidates) {
        this.index = index;
        this.prompt = prompt;
        this.profile = profile;
        this.store = store;
        this.isolatedAccount = isolatedAccount;
        this.candidates = candidates;
    }

    /**
     * An engine or store to copy the shared parts from.
     *
     * @param address IP:PORT
     * @param millis expected duration of the copy
     */
    public record Source(String address, double millis) {}

    /**
     * Returns the cache namespace for a weights version. Engines with other weights and requests of other accounts
     * never find the parts in it.
     */
    public String cacheSalt(long weightsVersion) {
        return isolatedAccount.map(account -> weightsVersion + "/" + account).orElse(Long.toString(weightsVersion));
    }

    /** Whether the shared parts are so long that an engine which has them is worth preferring. */
    public boolean hasLongPrefix() {
        return prompt.sharedTokens() >= MIN_PREFERRED_TOKENS;
    }

    /** Whether copying the shared parts may be faster than prefilling them again. */
    private boolean isWorthCopying() {
        return prompt.sharedTokens() >= MIN_TRANSFER_TOKENS;
    }

    /** Whether an engine probably has the shared parts. */
    public boolean holds(Candidate candidate) {
        return locations(candidate).holders().contains(candidate);
    }

    /** Returns the tokens that an engine has to prefill for the prompt; empty when it copies some of them. */
    public OptionalInt prefillTokens(Candidate candidate) {
        if (holds(candidate)) {
            return OptionalInt.of(Math.max(0, prompt.inputTokens() - prompt.sharedTokens()));
        }
        return fastestSource(candidate).isPresent() ? OptionalInt.empty() : OptionalInt.of(prompt.inputTokens());
    }

    /** Whether an engine is prefilling the shared parts for an earlier request. */
    public boolean isPrefilling(Candidate candidate) {
        OptionalLong prefillingHolder = locations(candidate).prefillingHolder();
        return prefillingHolder.isPresent() && prefillingHolder.getAsLong() == holder(candidate.upstream());
    }

    /** Whether the store or an engine with the same weights probably has the shared parts, or is prefilling them. */
    public boolean isAvailableAnywhere(Candidate candidate) {
        PrefixLocations known = locations(candidate);
        return known.inStore()
                || !known.holders().isEmpty()
                || candidates.stream()
                        .anyMatch(other -> other.weightsVersion() == candidate.weightsVersion() && isPrefilling(other));
    }

    /** Returns the placement to announce before a request is sent to an engine that has to obtain the shared parts. */
    public Optional<PlacementIndex.Placement> prefillPlacement(Candidate chosen) {
        if (!hasLongPrefix() || holds(chosen) || isPrefilling(chosen)) {
            return Optional.empty();
        }
        return Optional.of(new PlacementIndex.Placement(locations(chosen).part(), holder(chosen.upstream()), 0));
    }

    private PrefixLocations locations(Candidate candidate) {
        return locations(candidate.weightsVersion());
    }

    private PrefixLocations locations(long weightsVersion) {
        return byVersion.computeIfAbsent(weightsVersion, this::locate);
    }

    private PrefixLocations locate(long weightsVersion) {
        long part = part(weightsVersion);
        Set<Candidate> holders = Collections.newSetFromMap(new IdentityHashMap<>());
        candidates.stream()
                .filter(candidate -> candidate.weightsVersion() == weightsVersion)
                .filter(candidate ->
                        index.holds(part, holder(candidate.upstream()), profile.cacheTokens() * ENGINE_CACHED_SHARE))
                .forEach(holders::add);
        boolean inStore = store.isPresent()
                && index.holds(part, storeHolder(store.get()), store.get().capacityTokens() * STORE_CACHED_SHARE);
        return new PrefixLocations(part, holders, inStore, index.prefillingHolder(part));
    }

    /**
     * Returns the source with the fastest copy of the shared parts; empty when the engine has to prefill them itself.
     */
    public Optional<Source> fastestSource(Candidate target) {
        if (!isWorthCopying()) {
            return Optional.empty();
        }
        // An engine that still has the parts copies nothing, so stating the store as a source then costs nothing.
        boolean targetHolds = holds(target);
        Optional<Source> best = Optional.empty();
        for (Candidate other : candidates) {
            boolean isSource = !targetHolds
                    && other != target
                    && locations(target).holders().contains(other);
            if (isSource) {
                double millis = transferMillis(
                        profile, other.upstream().zone(), target.upstream().zone());
                best = faster(best, new Source(other.upstream().address(), millis));
            }
        }
        if (locations(target).inStore()) {
            CacheStore from = store.orElseThrow();
            EngineProfile linkProfile = new EngineProfile(1, 0, profile.tokenBytes(), from.linkMegabitsPerSecond());
            double millis =
                    transferMillis(linkProfile, from.zone(), target.upstream().zone());
            best = faster(best, new Source(from.address(), millis));
        }
        return best;
    }

    /**
     * Returns the address that the engine should query for the shared parts that it lacks: that of the fastest source,
     * or of the store when no source is known. The store may have the parts, or the first ones of them, from requests
     * that this router has not heard of; a lookup without success takes about a millisecond.
     */
    public Optional<String> addressToQuery(Candidate target) {
        Optional<String> known = fastestSource(target).map(Source::address);
        return known.isPresent() || !isWorthCopying() ? known : store.map(CacheStore::address);
    }

    /** Returns the address of the store to save the parts to after the prefill; empty when it probably has them. */
    public Optional<String> storeToSaveTo(long weightsVersion) {
        if (!isWorthCopying() || locations(weightsVersion).inStore()) {
            return Optional.empty();
        }
        return store.map(CacheStore::address);
    }

    /**
     * Returns the placements that hold after an engine has prefilled the prompt.
     *
     * @param saved whether the request also told the engine to save the parts to the store
     */
    public List<PlacementIndex.Placement> placementsAfterPrefill(Candidate chosen, boolean saved) {
        // A short prefix is announced only when it is new at its holder, so that announcements stay few.
        if (!isWorthCopying() || (!hasLongPrefix() && !saved && holds(chosen))) {
            return List.of();
        }
        long part = locations(chosen).part();
        int own = prompt.inputTokens() - prompt.sharedTokens();
        int added = Math.max(0, holds(chosen) ? own : prompt.inputTokens());
        List<PlacementIndex.Placement> placements = new ArrayList<>();
        placements.add(new PlacementIndex.Placement(part, holder(chosen.upstream()), added));
        if (saved && store.isPresent()) {
            placements.add(new PlacementIndex.Placement(part, storeHolder(store.get()), prompt.inputTokens()));
        }
        return placements;
    }

    private double transferMillis(EngineProfile linkProfile, String fromZone, String toZone) {
        double factor = fromZone.equals(toZone) ? 1 : CROSS_ZONE_FACTOR;
        return TRANSFER_SETUP_MILLIS + linkProfile.transferMillis(prompt.sharedTokens()) * factor;
    }

    private static Optional<Source> faster(Optional<Source> known, Source other) {
        return known.isPresent() && known.get().millis() <= other.millis() ? known : Optional.of(other);
    }

    private long part(long weightsVersion) {
        return Rendezvous.hash(prompt.model() + '/' + cacheSalt(weightsVersion) + '/' + prompt.sharedPrefixId());
    }

    private static long holder(FleetUpstream upstream) {
        return Rendezvous.hash(upstream.key());
    }

    // A restarted store is empty, so each incarnation is another holder.
    private static long storeHolder(CacheStore store) {
        return Rendezvous.hash(store.address() + '#' + store.incarnation());
    }
}
