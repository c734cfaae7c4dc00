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

public class PrefixLocatorTest {
    private static final Prompt PROMPT = new Prompt(
            FleetFixtures.MODEL, List.of(new PromptPart("ab", 13_000), new PromptPart("cd", 3_000)), 16_000, 20);
    private static final CacheStore STORE = new CacheStore("s", "10.9.9.9:80", "z", 1_000_000, 48_000, 1);
    private final Candidate first = FleetFixtures.candidate("a", "z", 1, UpstreamEstimate.IDLE);
    private final Candidate second = FleetFixtures.candidate("b", "z", 1, UpstreamEstimate.IDLE);
    private final Candidate updated = FleetFixtures.candidate("c", "z", 2, UpstreamEstimate.IDLE);

    // Guards against a repeated prefill of a prefix that another engine or the store has.
    @Test
    public void sourceIsTheEngineThenTheStore() {
        PlacementIndex index = new PlacementIndex();
        PromptCache locator = locator(index, Optional.empty());
        assertEquals(locator.saveTo(1), Optional.of(STORE.address()));
        locator.placements(first, true).forEach(index::placed);
        locator = locator(index, Optional.empty());
        assertTrue(locator.holds(first));
        assertEquals(
                locator.fastestSource(second).orElseThrow().address(),
                first.upstream().address());
        assertEquals(locator.saveTo(1), Optional.empty());
        // The engine prefills other prompts until it must have evicted the parts; the store still has them.
        for (int other = 0; other < 5; other++) {
            index.heard(new PlacementIndex.Placement(other, holder(first), 20_000));
        }
        locator = locator(index, Optional.empty());
        assertFalse(locator.holds(first));
        assertEquals(locator.fastestSource(second).orElseThrow().address(), STORE.address());
    }

    // Guards against the use of parts that were computed with other weights: their namespace is another one.
    @Test
    public void otherWeightsHaveOtherParts() {
        PlacementIndex index = new PlacementIndex();
        PromptCache locator = locator(index, Optional.empty());
        locator.placements(first, true).forEach(index::placed);
        locator = locator(index, Optional.empty());
        assertEquals(locator.fastestSource(updated), Optional.empty());
        assertNotEquals(locator.salt(1), locator.salt(2));
    }

    // Guards against parts of an isolated account that another account could find.
    @Test
    public void isolatedAccountHasItsOwnNamespace() {
        PlacementIndex index = new PlacementIndex();
        locator(index, Optional.of("x")).placements(first, true).forEach(index::placed);
        assertFalse(locator(index, Optional.empty()).holds(first));
        assertFalse(locator(index, Optional.of("y")).holds(first));
        assertNotEquals(
                locator(index, Optional.of("x")).salt(1),
                locator(index, Optional.of("y")).salt(1));
    }

    // Guards against the assumption that a restarted store still has its contents.
    @Test
    public void restartedStoreIsEmpty() {
        PlacementIndex index = new PlacementIndex();
        locator(index, Optional.empty()).placements(first, true).forEach(index::placed);
        PromptCache afterRestart = new PromptCache(
                index,
                PROMPT,
                FleetFixtures.PROFILE,
                Optional.of(STORE.withIncarnation(2)),
                Optional.empty(),
                List.of(second));
        assertEquals(afterRestart.fastestSource(second), Optional.empty());
        assertEquals(afterRestart.saveTo(1), Optional.of(STORE.address()));
    }

    // Guards against a prefix that is prefilled twice because the second request arrives before the first response.
    @Test
    public void secondRequestWaitsForAPrefillInProgress() {
        PlacementIndex index = new PlacementIndex();
        PlacementIndex peer = new PlacementIndex();
        locator(index, Optional.empty()).reading(first).ifPresent(index::placed);
        index.takeUnsent().forEach(peer::heard);
        Candidate busy = new Candidate(
                first.upstream(),
                new UpstreamEstimate(3, PrefillBacklog.EMPTY.with(1, 150), 100, 0, 0),
                first.weightsVersion());
        PromptCache locator = new PromptCache(
                peer, PROMPT, FleetFixtures.PROFILE, Optional.empty(), Optional.empty(), List.of(busy, second));
        assertTrue(locator.isReading(busy));
        assertEquals(locator.fastestSource(second), Optional.empty(), "a prefill in progress cannot be copied");
        UpstreamChooser chooser = new UpstreamChooser(new ChoiceSettings("z", 30, 70));
        PromptRequest request = new PromptRequest(PROMPT, FleetFixtures.PROFILE, 1, 1, 500);
        Choice choice =
                chooser.chooseForPrompt(List.of(busy, second), request, locator).orElseThrow();
        assertEquals(choice.candidate(), busy);
        locator.placements(busy, false).forEach(peer::heard);
        assertFalse(
                locator(peer, Optional.empty()).isReading(first), "the response has started, so the prefill has ended");
        assertTrue(locator(peer, Optional.empty()).holds(first));
    }

    // Guards against routers that have not exchanged any placements and prefill a new prefix on several engines.
    @Test
    public void newPrefixGoesToItsPreferredEngine() {
        Candidate third = FleetFixtures.candidate("d", "z", 1, UpstreamEstimate.IDLE);
        UpstreamChooser chooser = new UpstreamChooser(new ChoiceSettings("z", 30, 70));
        PromptRequest request = new PromptRequest(PROMPT, FleetFixtures.PROFILE, 1, 1, 500);
        List<Candidate> idle = List.of(first, second, third);
        Candidate preferred = chooser.chooseForPrompt(idle, request, locator(new PlacementIndex(), Optional.empty()))
                .orElseThrow()
                .candidate();
        List<Candidate> loaded = idle.stream()
                .map(candidate -> candidate != preferred
                        ? candidate
                        : new Candidate(
                                preferred.upstream(),
                                new UpstreamEstimate(3, PrefillBacklog.EMPTY.with(1, 50), 100, 0, 0),
                                preferred.weightsVersion()))
                .toList();
        PromptCache locator = new PromptCache(
                new PlacementIndex(), PROMPT, FleetFixtures.PROFILE, Optional.empty(), Optional.empty(), loaded);
        Choice choice = chooser.chooseForPrompt(loaded, request, locator).orElseThrow();
        assertEquals(choice.candidate().upstream(), preferred.upstream());
    }

    private PromptCache locator(PlacementIndex index, Optional<String> isolatedAccount) {
        return new PromptCache(
                index,
                PROMPT,
                FleetFixtures.PROFILE,
                Optional.of(STORE),
                isolatedAccount,
                List.of(first, second, updated));
    }

    private static long holder(Candidate candidate) {
        return io.agatelane.core.hash.Rendezvous.hash(candidate.upstream().key());
    }
}
