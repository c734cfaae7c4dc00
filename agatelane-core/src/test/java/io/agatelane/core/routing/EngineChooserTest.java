package io.agatelane.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.Rendezvous;
import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.core.routing.query.ChoiceConstraints;
import io.agatelane.core.routing.query.EngineChooser;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

public class EngineChooserTest {
    private static final ChoiceConstraints CONSTRAINTS =
            new ChoiceConstraints(RoutingPolicy.DEFAULT, 1, upstream -> false);

    private final HintTable hints = new HintTable(12);
    private final PrefixRates rates = new PrefixRates(10);

    // Guards against a fast scan that deviates from the definition of the preferred engines, so that routers would
    // disagree.
    @Test
    public void preferredEnginesHaveTheHighestWeights() {
        List<UpstreamState> engines = engines(50);
        ModelFleet fleet = new ModelFleet("m", "v1", engines, "zone-a");
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
        for (int i = 0; i < 200; i++) {
            RequestProfile request = request("a/v1", "document " + i, random.nextLong());
            Decision decision = new EngineChooser(hints, rates).choose(fleet, request, CONSTRAINTS, 0);
            Set<UpstreamState> candidates = new HashSet<>();
            for (int c = 0; c < decision.count(); c++) {
                candidates.add(decision.upstream(c));
            }
            for (int level = 0; level < request.levelCount(); level++) {
                long key = request.key(level);
                List<UpstreamState> sorted = new ArrayList<>(engines);
                sorted.sort(Comparator.comparingInt(engine -> weight(key, engine)));
                assertTrue(candidates.contains(sorted.get(49)) && candidates.contains(sorted.get(48)));
            }
        }
    }

    // Guards against a prefix that moves to another engine when an engine that it does not use leaves.
    @Test
    public void preferredEnginesStayWhenOthersLeave() {
        List<UpstreamState> engines = engines(20);
        RequestProfile request = request("a/v1", "document", 1);
        UpstreamState first = choose(engines, request, 0);
        for (UpstreamState engine : engines) {
            if (engine != first) {
                engine.setDrainingByConfig(true);
                assertEquals(choose(engines, request, 0), first);
                engine.setDrainingByConfig(false);
            }
        }
    }

    // Guards against hints about the cache of an engine's earlier incarnation (I1). A key without the incarnation, used
    // here for comparison, still matches after the restart.
    @Test
    public void hintsEndWithTheIncarnation() {
        UpstreamState engine = engines(1).get(0);
        RequestProfile request = request("a/v1", "document", 1);
        long digest = request.digest(0);
        hints.put(engine.nodeHash(), engine.engineKey(), digest, 0);
        HintTable withoutIncarnation = new HintTable(12);
        withoutIncarnation.put(engine.nodeHash(), engine.nodeHash(), digest, 0);
        assertTrue(hints.ageMillis(engine.engineKey(), digest, 32) >= 0);
        engine.setReport(report("2", "v1"));
        assertEquals(hints.ageMillis(engine.engineKey(), digest, 32), -1);
        assertEquals(withoutIncarnation.ageMillis(engine.nodeHash(), digest, 32), 32);
    }

    // Guards against hints about the cache of another client account or of older weights (I1): the salt changes every
    // digest.
    @Test
    public void hintsEndWithAccountAndWeights() {
        long digest = request("a/v1", "document", 1).digest(0);
        assertNotEquals(request("b/v1", "document", 1).digest(0), digest);
        assertNotEquals(request("a/v2", "document", 1).digest(0), digest);
    }

    // Guards against requests to engines that have other weights or are leaving for any of three reasons (I1, I7).
    @Test
    public void engineMustBeReady() {
        UpstreamState engine = engines(1).get(0);
        assertTrue(engine.isReady("m", "v1"));
        assertTrue(!engine.isReady("m", "v2") && !engine.isReady("other", "v1"));
        engine.setDrainingByConfig(true);
        assertTrue(!engine.isReady("m", "v1"));
        engine.setDrainingByConfig(false);
        engine.setDrainingByPeer(true, 0);
        assertTrue(!engine.isReady("m", "v1"));
        engine.setDrainingByPeer(false, 0);
        engine.setReport(new LoadReport("1", "m", "v1", true, 4, 0, 0, 1_000, 10, 0));
        assertTrue(!engine.isReady("m", "v1"));
    }

    // Guards against long requests that occupy all slots of an engine while short requests wait.
    @Test
    public void longRequestsGetAShareOfTheSlots() {
        List<UpstreamState> engines = engines(2);
        RequestProfile longRequest = new RequestProfile("m", prompt("a/v1", "log"), 1_000, 1);
        RequestProfile shortRequest = new RequestProfile("m", prompt("a/v1", "log"), 10, 1);
        int sent = 0;
        UpstreamState engine = choose(engines, longRequest, 0);
        while (engine != null) {
            engine.recordSent(0, true, 0);
            sent++;
            engine = choose(engines, longRequest, 0);
        }
        assertEquals(sent, 4);
        assertTrue(choose(engines, shortRequest, 0) != null);
    }

    // Guards against a frequently requested prefix that stays on two overloaded engines.
    @Test
    public void frequentPrefixesGetMoreEngines() {
        List<UpstreamState> engines = engines(100);
        Set<UpstreamState> used = new HashSet<>();
        for (int i = 0; i < 600; i++) {
            long nowMillis = i * 10L;
            RequestProfile request = request("a/v1", "hot document", i);
            UpstreamState engine = choose(engines, request, nowMillis);
            rates.record(request.digest(0), nowMillis);
            hints.put(engine.nodeHash(), engine.engineKey(), request.digest(0), nowMillis);
            engine.recordSent(0, false, nowMillis);
            used.add(engine);
        }
        assertTrue(used.size() > EngineChooser.MIN_PREFERRED, "engines used: " + used.size());
    }

    // Guards against an engine on probation that receives normal traffic, or none at all so that its probation never
    // ends.
    @Test
    public void probationGetsProbesOnly() {
        List<UpstreamState> engines = engines(2);
        RequestProfile request = request("a/v1", "document", 1);
        UpstreamState preferred = choose(engines, request, 10_000);
        preferred.setProbation(true);
        preferred.recordProbe(10_000);
        assertNotEquals(choose(engines, request, 10_100), preferred);
        assertEquals(choose(engines, request, 11_000), preferred);
    }

    private static int weight(long key, UpstreamState engine) {
        int[] weights = new int[1];
        Rendezvous.weights(Rendezvous.fold(key), new int[] {Rendezvous.fold(engine.nodeHash())}, weights);
        return weights[0];
    }

    // Guards against hash weights that favour some engines or depend on other engines: each engine is the first
    // preferred one for about its share of the prefixes.
    @Test
    public void preferredEnginesAreSpreadEvenly() {
        ModelFleet fleet = new ModelFleet("m", "v1", engines(20), "zone-a");
        int[] firsts = new int[20];
        int[] indexes = new int[2];
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(9);
        for (int i = 0; i < 20_000; i++) {
            fleet.findPreferred(random.nextLong(), indexes, new int[20]);
            firsts[indexes[0]]++;
        }
        for (int count : firsts) {
            assertTrue(
                    count > 850 && count < 1_150, "prefixes for which an engine is the first preferred one: " + count);
        }
    }

    private UpstreamState choose(List<UpstreamState> engines, RequestProfile request, long nowMillis) {
        ModelFleet fleet = new ModelFleet("m", "v1", engines, "zone-a");
        Decision decision = new EngineChooser(hints, rates).choose(fleet, request, CONSTRAINTS, nowMillis);
        return decision.best() < 0 ? null : decision.upstream(decision.best());
    }

    static List<UpstreamState> engines(int count) {
        List<UpstreamState> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            UpstreamState engine = new UpstreamState("e" + i, "zone-a", 0.5);
            engine.setReachable(true);
            engine.setReport(report("1", "v1"));
            engines.add(engine);
        }
        return engines;
    }

    private static LoadReport report(String incarnation, String weights) {
        return new LoadReport(incarnation, "m", weights, false, 4, 0, 0, 1_000, 10, 0);
    }

    private static RequestProfile request(String salt, String document, long seed) {
        return new RequestProfile("m", prompt(salt, document), 10, seed);
    }

    private static io.agatelane.core.hash.PromptDigests prompt(String salt, String document) {
        return new PromptDigester(salt)
                .add("system", document.repeat(500))
                .add("user", "question")
                .build();
    }
}
