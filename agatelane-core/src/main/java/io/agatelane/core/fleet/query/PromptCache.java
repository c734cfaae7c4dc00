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
import java.util.OptionalLong;
import java.util.Set;

/**
 * Where the shared parts of one prompt are.
 *
 * <p>Parts are looked up under the name space of the engine's weights and, for an isolated account, of the account.
 */
public final class PromptCache {
    // Below this size reading a prefix again is faster than any transfer.
    private static final int MIN_TRANSFER_TOKENS = 500;
    // Fixed part of a transfer: set-up at both ends and the look-up at the source.
    private static final double TRANSFER_SETUP_MILLIS = 10;
    private static final double CROSS_ZONE_FACTOR = 2;
    // Part of an engine's memory that unused parts occupy; running requests take the rest.
    private static final double ENGINE_KEPT_SHARE = 0.5;
    private static final double STORE_KEPT_SHARE = 0.8;

    private final PlacementIndex index;
    private final Prompt prompt;
    private final EngineProfile profile;
    private final Optional<CacheStore> store;
    private final Optional<String> isolatedAccount;
    private final List<Candidate> candidates;
    private final Map<Long, Whereabouts> byVersion = new HashMap<>();

    /**
     * Where the shared parts are for one version of the weights, looked up once for each decision.
     *
     * @param holders engines, by identity
     */
    private record Whereabouts(long part, Set<Candidate> holders, boolean inStore, OptionalLong reader) {}

    /** Combines what is known about a prompt. Used by one thread. */
    public PromptCache(
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
     * A place to copy shared parts from.
     *
     * @param address IP:PORT
     * @param millis expected time of the copy
     */
    public record Source(String address, double millis) {}

    /** Name space of cached parts for an engine's weights. Other weights and other accounts never find them. */
    public String salt(long weightsVersion) {
        return isolatedAccount.map(account -> weightsVersion + "/" + account).orElse(Long.toString(weightsVersion));
    }

    /** Whether the shared parts are long enough for it to matter where they are. */
    public boolean hasLongPrefix() {
        return prompt.sharedTokens() >= MIN_TRANSFER_TOKENS;
    }

    /** Whether an engine probably has the shared parts. */
    public boolean holds(Candidate candidate) {
        return whereabouts(candidate).holders().contains(candidate);
    }

    /** Whether an engine was sent a request that makes it read the shared parts. */
    public boolean isReading(Candidate candidate) {
        OptionalLong reader = whereabouts(candidate).reader();
        return reader.isPresent() && reader.getAsLong() == holder(candidate.upstream());
    }

    /** Whether any engine with the same weights, or the store, probably has them or reads them. */
    public boolean isKnownAnywhere(Candidate candidate) {
        Whereabouts known = whereabouts(candidate);
        return known.inStore()
                || !known.holders().isEmpty()
                || candidates.stream()
                        .anyMatch(other -> other.weightsVersion() == candidate.weightsVersion() && isReading(other));
    }

    /** What to tell before a request is sent to an engine that has to get the shared parts first. */
    public Optional<PlacementIndex.Placement> reading(Candidate chosen) {
        if (!hasLongPrefix() || holds(chosen) || isReading(chosen)) {
            return Optional.empty();
        }
        return Optional.of(new PlacementIndex.Placement(whereabouts(chosen).part(), holder(chosen.upstream()), 0));
    }

    private Whereabouts whereabouts(Candidate candidate) {
        return whereabouts(candidate.weightsVersion());
    }

    private Whereabouts whereabouts(long weightsVersion) {
        return byVersion.computeIfAbsent(weightsVersion, this::find);
    }

    private Whereabouts find(long weightsVersion) {
        long part = part(weightsVersion);
        Set<Candidate> holders = Collections.newSetFromMap(new IdentityHashMap<>());
        candidates.stream()
                .filter(candidate -> candidate.weightsVersion() == weightsVersion)
                .filter(candidate ->
                        index.holds(part, holder(candidate.upstream()), profile.cacheTokens() * ENGINE_KEPT_SHARE))
                .forEach(holders::add);
        boolean inStore = store.isPresent()
                && index.holds(part, storeHolder(store.get()), store.get().capacityTokens() * STORE_KEPT_SHARE);
        return new Whereabouts(part, holders, inStore, index.reader(part));
    }

    /** The quickest place to copy the shared parts from; empty when reading them again is the only way. */
    public Optional<Source> source(Candidate target) {
        if (!hasLongPrefix()) {
            return Optional.empty();
        }
        // An engine that still has the parts copies nothing, so naming a source costs nothing when the guess was right.
        boolean held = holds(target);
        Optional<Source> best = Optional.empty();
        for (Candidate other : candidates) {
            boolean usable =
                    !held && other != target && whereabouts(target).holders().contains(other);
            if (usable) {
                double millis = transferMillis(
                        profile, other.upstream().zone(), target.upstream().zone());
                best = quicker(best, new Source(other.upstream().address(), millis));
            }
        }
        if (whereabouts(target).inStore()) {
            CacheStore from = store.orElseThrow();
            EngineProfile link = new EngineProfile(1, 0, profile.tokenBytes(), from.linkMegabitsPerSecond());
            double millis = transferMillis(link, from.zone(), target.upstream().zone());
            best = quicker(best, new Source(from.address(), millis));
        }
        return best;
    }

    /** The store to save the parts to once they are read; empty when it probably has them. */
    public Optional<String> saveTo(long weightsVersion) {
        if (!hasLongPrefix() || whereabouts(weightsVersion).inStore()) {
            return Optional.empty();
        }
        return store.map(CacheStore::address);
    }

    /** What an engine that has read the prompt, and saved it when it was told to, holds from now on. */
    public List<PlacementIndex.Placement> placements(Candidate chosen, boolean saved) {
        if (!hasLongPrefix()) {
            return List.of();
        }
        long part = whereabouts(chosen).part();
        int own = prompt.inputTokens() - prompt.sharedTokens();
        int read = Math.max(0, holds(chosen) ? own : prompt.inputTokens());
        List<PlacementIndex.Placement> placements = new ArrayList<>();
        placements.add(new PlacementIndex.Placement(part, holder(chosen.upstream()), read));
        if (saved && store.isPresent()) {
            placements.add(new PlacementIndex.Placement(part, storeHolder(store.get()), prompt.inputTokens()));
        }
        return placements;
    }

    private double transferMillis(EngineProfile link, String fromZone, String toZone) {
        double factor = fromZone.equals(toZone) ? 1 : CROSS_ZONE_FACTOR;
        return TRANSFER_SETUP_MILLIS + link.transferMillis(prompt.sharedTokens()) * factor;
    }

    private static Optional<Source> quicker(Optional<Source> known, Source other) {
        return known.isPresent() && known.get().millis() <= other.millis() ? known : Optional.of(other);
    }

    private long part(long weightsVersion) {
        return Rendezvous.hash(prompt.model() + '/' + salt(weightsVersion) + '/' + prompt.sharedPrefixId());
    }

    private static long holder(FleetUpstream upstream) {
        return Rendezvous.hash(upstream.key());
    }

    // A store that has restarted is empty.
    private static long storeHolder(CacheStore store) {
        return Rendezvous.hash(store.address() + '#' + store.incarnation());
    }
}
