package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.CallerLimits;
import io.agatelane.core.fleet.FleetAccount;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.node.api.FleetReadResult;
import io.agatelane.node.api.FleetSource;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.StoreContentId;
import io.agatelane.node.api.StoreContentId.EntrySetId;
import io.agatelane.node.api.StoreEra;
import io.agatelane.node.fakes.FakeControl;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A router whose store goes back to an older copy. */
public class StoreEraTest implements FleetSource {
    private static final long POLL_MILLIS = 700;

    private MetricRegistry metrics;
    private FakeControl control;
    private FleetState state;
    private StorePoller poller;
    private long era;
    private int version;
    private List<String> keys;
    private List<FleetUpstream> upstreams;
    private List<KeyValue> routerEntries;
    private int reads;

    @BeforeMethod
    public void start() {
        metrics = new MetricRegistry();
        control = new FakeControl();
        state = new FleetState();
        poller = new StorePoller(this, state, control, control, new Random(1), POLL_MILLIS, metrics);
        era = 3;
        routerEntries = List.of(new KeyValue(
                EraMarker.KEY, Long.toString(era).getBytes(StandardCharsets.US_ASCII), StoreEra.qualify(era, 1)));
        upstreams = List.of(upstream("a", 1), upstream("b", 2), upstream("c", 3));
        configure(5, "old", "kept");
        poller.start();
        control.advance(POLL_MILLIS);
    }

    @Override
    public CompletableFuture<FleetReadResult> read() {
        reads++;
        FleetAccount account = new FleetAccount("t", OptionalInt.empty(), false, Optional.empty());
        FleetConfig config = new FleetConfig(
                version,
                List.of(),
                Map.of(),
                List.of(),
                keys.stream().collect(Collectors.toMap(key -> key, key -> account)),
                true,
                new CallerLimits(1_000, 1_000, 1_000, 1_000));
        FleetView view = new FleetView(Optional.of(config), upstreams, Map.of("m", (long) version), Set.of());
        return CompletableFuture.completedFuture(new FleetReadResult(view, content(), routerEntries));
    }

    private StoreContentId content() {
        return new StoreContentId(era, new EntrySetId(9, version), new EntrySetId(8, upstreams.hashCode()));
    }

    // Guards against a revoked key that comes back into use with the configuration of the older copy, and against reads
    // that prove such a configuration to be the newest.
    @Test
    public void olderConfigurationProvesNothing() {
        configure(6, "kept");
        control.advance(POLL_MILLIS);
        long provenMillis = provenMillis();
        era++;
        configure(5, "old", "kept");
        control.advance(10_000);
        assertEquals(config().version(), 6);
        assertFalse(config().accountOf("old").isPresent());
        assertEquals(state.snapshot().view().newestWeightsVersions(), Map.of("m", 6L));
        assertEquals(provenMillis(), provenMillis);
        configure(6, "kept");
        control.advance(POLL_MILLIS);
        assertTrue(ageMillis() <= POLL_MILLIS, "age " + ageMillis());
        assertEquals(metrics.counter("store_era_changes_total").getCount(), 1);
    }

    // Guards against a key that was revoked in the moment before the store went back, and that counts as valid at once
    // because the configuration without that change is read from the copy.
    @Test
    public void lostConfigurationHasTimeToReturn() {
        long provenMillis = provenMillis();
        era++;
        control.advance(2_500);
        assertEquals(provenMillis(), provenMillis);
        configure(6, "kept");
        control.advance(POLL_MILLIS);
        assertTrue(ageMillis() <= POLL_MILLIS, "a newer configuration proves itself, age " + ageMillis());
        era++;
        control.advance(5_000);
        assertTrue(ageMillis() <= POLL_MILLIS, "nothing came for long enough, age " + ageMillis());
    }

    // Guards against a router that follows the relay of its zone in an era of the store that only one of them knows.
    @Test
    public void relayOfAnotherEraVerifiesNothing() {
        control.advance(POLL_MILLIS / 2);
        long provenMillis = provenMillis();
        StoreContentId known = content();
        for (long other : List.of(0L, 2L)) {
            int before = reads;
            poller.compareWithRelay(
                    new StoreContentId(other, known.operatorEntries(), known.upstreamEntries()), control.now());
            assertEquals(provenMillis(), provenMillis);
            assertEquals(reads, before, "a relay of an earlier era, or of a build without eras, has nothing newer");
        }
        int before = reads;
        poller.compareWithRelay(new StoreContentId(4, new EntrySetId(2, 2), known.upstreamEntries()), control.now());
        assertEquals(reads, before + 1, "lower revisions of a later era are newer");
        era++;
        control.advance(POLL_MILLIS);
        poller.compareWithRelay(content(), control.now());
        assertEquals(provenMillis(), provenMillis + POLL_MILLIS / 2, "the read before the new era");
    }

    // Guards against a router that starts on the older copy and accepts a key that its peers know to be revoked.
    @Test
    public void configurationOfAPeerIsAwaitedAfterTheStart() {
        poller.recordPeerConfig(5);
        assertTrue(ageMillis() <= POLL_MILLIS);
        poller.recordPeerConfig(6);
        control.advance(10_000);
        assertTrue(ageMillis() > 10_000_000, "age " + ageMillis());
        configure(6, "kept");
        control.advance(POLL_MILLIS);
        assertTrue(ageMillis() <= POLL_MILLIS, "age " + ageMillis());
        control.advance(20_000);
        poller.recordPeerConfig(7);
        assertTrue(ageMillis() <= POLL_MILLIS, "a running router has read later than the version was acknowledged");
    }

    // Guards against a delayed result of the era before that takes the place of the newest one.
    @Test
    public void resultsOfAnEarlierEraAreDropped() {
        era++;
        configure(6, "kept");
        control.advance(POLL_MILLIS);
        era--;
        upstreams = List.of();
        control.advance(POLL_MILLIS);
        assertEquals(state.snapshot().view().upstreams().size(), 3);
        assertEquals(poller.era(), 4);
    }

    // Guards against a router that loses all its upstreams at once, or keeps those that do not come back.
    @Test
    public void lostUpstreamsHaveTimeToReturn() {
        era++;
        upstreams = List.of();
        control.advance(POLL_MILLIS);
        assertEquals(usable(), Set.of("a", "b", "c"));
        upstreams = List.of(upstream("b", 2), upstream("d", 3));
        control.advance(POLL_MILLIS);
        assertEquals(usable(), Set.of("a", "b", "d"), "the address of c has another owner");
        upstreams = List.of(upstream("d", 3));
        control.advance(POLL_MILLIS);
        assertEquals(usable(), Set.of("a", "d"), "b has left after it was back");
        control.advance(KnownUpstreams.REWRITE_MILLIS);
        assertEquals(usable(), Set.of("d"));
    }

    // Guards against an upstream that the router saw leave, and that it uses again because the copy still lists it.
    @Test
    public void upstreamsThatHaveLeftStayUnused() {
        List<FleetUpstream> copy = upstreams;
        upstreams = List.of(upstream("a", 1), upstream("b", 2).asDraining());
        control.advance(POLL_MILLIS);
        era++;
        upstreams = copy;
        control.advance(POLL_MILLIS);
        assertEquals(usable(), Set.of("a"));
        upstreams = List.of(upstream("a", 1), upstream("b", 2));
        control.advance(POLL_MILLIS);
        upstreams = copy;
        control.advance(POLL_MILLIS);
        assertEquals(usable(), Set.of("a", "c"), "c was written again, b had announced its end");
        control.advance(2 * KnownUpstreams.COPY_AGE_MILLIS);
        assertEquals(usable(), Set.of("a", "c"));
    }

    // Guards against a roll-out record of before that stays for ever because its revision is the larger one.
    @Test
    public void recordOfAnEarlierEraGivesWay() {
        routerEntries = List.of(record(90));
        followRelay(5_000);
        assertEquals(StoreEra.number(poller.rollout().orElseThrow().revision()), 90);
        era++;
        routerEntries = List.of(record(20));
        followRelay(10_000);
        assertTrue(metrics.counter("store_stale_reads_total").getCount() > 0);
        assertEquals(StoreEra.number(poller.rollout().orElseThrow().revision()), 20);
    }

    private void followRelay(long durationMillis) {
        for (long millis = 0; millis < durationMillis; millis += 200) {
            poller.compareWithRelay(content(), control.now());
            control.advance(200);
        }
    }

    private KeyValue record(long revision) {
        return new KeyValue(
                RolloutRecord.KEY, RolloutRecord.NONE.withHolder("vm-2").encode(), StoreEra.qualify(era, revision));
    }

    private void configure(int newVersion, String... newKeys) {
        version = newVersion;
        keys = new ArrayList<>(List.of(newKeys));
    }

    private static FleetUpstream upstream(String id, int address) {
        return new FleetUpstream(id, 1, "s", "10.0.0." + address + ":80", "z", 8, false, Map.of());
    }

    private FleetConfig config() {
        return state.snapshot().config().orElseThrow();
    }

    private Set<String> usable() {
        return state.snapshot().usable("s").stream().map(FleetUpstream::id).collect(Collectors.toSet());
    }

    private long provenMillis() {
        return state.snapshot().configVerifiedAt().orElseThrow().monotonicMillis();
    }

    private long ageMillis() {
        return control.monotonicMillis() - provenMillis();
    }
}
