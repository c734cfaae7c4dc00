package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.query.Candidate;
import io.agatelane.core.fleet.query.Choice;
import io.agatelane.core.fleet.query.ChoiceSettings;
import io.agatelane.core.fleet.query.PromptCache;
import io.agatelane.core.fleet.query.PromptRequest;
import io.agatelane.core.fleet.query.UpstreamChooser;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public class PromptCacheTest {
    private static final Prompt PROMPT =
            new Prompt(Fleets.MODEL, List.of(new PromptPart("ab", 13_000), new PromptPart("cd", 3_000)), 16_000, 20);
    private static final CacheStore STORE = new CacheStore("s", "10.9.9.9:80", "z", 1_000_000, 48_000, 1);
    private final Candidate first = Fleets.candidate("a", "z", 1, UpstreamEstimate.IDLE);
    private final Candidate second = Fleets.candidate("b", "z", 1, UpstreamEstimate.IDLE);
    private final Candidate updated = Fleets.candidate("c", "z", 2, UpstreamEstimate.IDLE);

    // Guards against a prefix that is read again although another engine or the store has it.
    @Test
    public void sourceIsTheEngineThenTheStore() {
        PlacementIndex index = new PlacementIndex();
        PromptCache cache = cache(index, Optional.empty());
        assertEquals(cache.saveTo(1), Optional.of(STORE.address()));
        cache.placements(first, true).forEach(index::placed);
        cache = cache(index, Optional.empty());
        assertTrue(cache.holds(first));
        assertEquals(
                cache.source(second).orElseThrow().address(), first.upstream().address());
        assertEquals(cache.saveTo(1), Optional.empty());
        // The engine reads other prompts until it must have dropped the parts; the store still has them.
        for (int other = 0; other < 5; other++) {
            index.heard(new PlacementIndex.Placement(other, holder(first), 20_000));
        }
        cache = cache(index, Optional.empty());
        assertFalse(cache.holds(first));
        assertEquals(cache.source(second).orElseThrow().address(), STORE.address());
    }

    // Guards against parts made under other weights: they have another name and are never offered.
    @Test
    public void otherWeightsHaveOtherParts() {
        PlacementIndex index = new PlacementIndex();
        PromptCache cache = cache(index, Optional.empty());
        cache.placements(first, true).forEach(index::placed);
        cache = cache(index, Optional.empty());
        assertEquals(cache.source(updated), Optional.empty());
        assertNotEquals(cache.salt(1), cache.salt(2));
    }

    // Guards against parts of an isolated account that another account could find.
    @Test
    public void isolatedAccountHasItsOwnNames() {
        PlacementIndex index = new PlacementIndex();
        cache(index, Optional.of("x")).placements(first, true).forEach(index::placed);
        assertFalse(cache(index, Optional.empty()).holds(first));
        assertFalse(cache(index, Optional.of("y")).holds(first));
        assertNotEquals(
                cache(index, Optional.of("x")).salt(1),
                cache(index, Optional.of("y")).salt(1));
    }

    // Guards against a store that has restarted and is believed to be full.
    @Test
    public void restartedStoreIsEmpty() {
        PlacementIndex index = new PlacementIndex();
        cache(index, Optional.empty()).placements(first, true).forEach(index::placed);
        PromptCache afterRestart = new PromptCache(
                index,
                PROMPT,
                Fleets.PROFILE,
                Optional.of(STORE.withIncarnation(2)),
                Optional.empty(),
                List.of(second));
        assertEquals(afterRestart.source(second), Optional.empty());
        assertEquals(afterRestart.saveTo(1), Optional.of(STORE.address()));
    }

    // Guards against a prefix that is read twice because the second request comes before the first answer.
    @Test
    public void prefixThatIsBeingReadIsWaitedFor() {
        PlacementIndex index = new PlacementIndex();
        PlacementIndex peer = new PlacementIndex();
        cache(index, Optional.empty()).reading(first).ifPresent(index::placed);
        index.takeUnsent().forEach(peer::heard);
        Candidate busy = new Candidate(
                first.upstream(),
                new UpstreamEstimate(3, PrefillBacklog.EMPTY.with(1, 150), 100, 0, 0),
                first.weightsVersion());
        PromptCache cache = new PromptCache(
                peer, PROMPT, Fleets.PROFILE, Optional.empty(), Optional.empty(), List.of(busy, second));
        assertTrue(cache.isReading(busy));
        assertEquals(cache.source(second), Optional.empty(), "what is still read cannot be copied");
        UpstreamChooser chooser = new UpstreamChooser(new ChoiceSettings("z", 30, 70));
        PromptRequest request = new PromptRequest(PROMPT, Fleets.PROFILE, 1, 1, 500);
        Choice choice =
                chooser.chooseForPrompt(List.of(busy, second), request, cache).orElseThrow();
        assertEquals(choice.candidate(), busy);
        cache.placements(busy, false).forEach(peer::heard);
        assertFalse(cache(peer, Optional.empty()).isReading(first), "the answer has begun, so the prefix is read");
        assertTrue(cache(peer, Optional.empty()).holds(first));
    }

    // Guards against routers that have heard nothing of each other and read a new prefix at several engines.
    @Test
    public void newPrefixGoesHome() {
        Candidate third = Fleets.candidate("d", "z", 1, UpstreamEstimate.IDLE);
        UpstreamChooser chooser = new UpstreamChooser(new ChoiceSettings("z", 30, 70));
        PromptRequest request = new PromptRequest(PROMPT, Fleets.PROFILE, 1, 1, 500);
        List<Candidate> idle = List.of(first, second, third);
        Candidate home = chooser.chooseForPrompt(idle, request, cache(new PlacementIndex(), Optional.empty()))
                .orElseThrow()
                .candidate();
        List<Candidate> loaded = idle.stream()
                .map(candidate -> candidate != home
                        ? candidate
                        : new Candidate(
                                home.upstream(),
                                new UpstreamEstimate(3, PrefillBacklog.EMPTY.with(1, 50), 100, 0, 0),
                                home.weightsVersion()))
                .toList();
        PromptCache cache = new PromptCache(
                new PlacementIndex(), PROMPT, Fleets.PROFILE, Optional.empty(), Optional.empty(), loaded);
        Choice choice = chooser.chooseForPrompt(loaded, request, cache).orElseThrow();
        assertEquals(choice.candidate().upstream(), home.upstream());
    }

    private PromptCache cache(PlacementIndex index, Optional<String> isolatedAccount) {
        return new PromptCache(
                index, PROMPT, Fleets.PROFILE, Optional.of(STORE), isolatedAccount, List.of(first, second, updated));
    }

    private static long holder(Candidate candidate) {
        return io.agatelane.core.hash.Rendezvous.hash(candidate.upstream().key());
    }
}
