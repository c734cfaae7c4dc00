package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.fleet.command.CrashSuspects;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeRouterControl;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class QuarantineKeeperTest {
    private static final long REQUEST = 7;
    private static final long PART = 8;
    private static final long POLL_MILLIS = 700;
    // The time that the users' rule allows after the third crash.
    private static final long ALLOWED_MILLIS = 3_000;

    private FakeControl control;
    private FakeKeyValueStore store;
    private FakeFleet fleet;
    private int routers;

    @BeforeMethod
    public void start() {
        control = new FakeControl();
        store = new FakeKeyValueStore(control);
        store.setLatencyMillis(4);
        fleet = new FakeFleet(control, store, 1);
        routers = 0;
    }

    /** A router without digests, whose state is lost when it is killed. */
    private final class Router {
        private final FakeRouterControl routerControl = new FakeRouterControl(control);
        private final FleetState state = new FleetState();

        private Router() {
            Random random = new Random(routers++);
            MetricRegistry metrics = new MetricRegistry();
            StorePoller poller =
                    new StorePoller(fleet, state, routerControl, routerControl, random, POLL_MILLIS, metrics);
            new QuarantineKeeper(store, poller, state, routerControl, routerControl, random, metrics).start();
            poller.start();
            state.setRouterCount(95);
        }

        private void crash(long request, int upstream) {
            state.suspects().recordCrash(request, upstream, control.monotonicMillis());
        }

        private void crashThrice(long request) {
            for (int upstream = 0; upstream < CrashSuspects.QUARANTINE_CRASHES; upstream++) {
                crash(request, upstream);
            }
        }

        private boolean refuses(long request) {
            return state.suspects().isQuarantined(request, control.monotonicMillis());
        }

        private boolean refusesPart() {
            return state.partSuspects()
                    .quarantineMillis(List.of(PART), control.monotonicMillis())
                    .isPresent();
        }
    }

    private static void kill(List<Router> killed) {
        killed.forEach(router -> router.routerControl.kill());
    }

    // Guards against a request that crashes upstreams again after each restart of all routers.
    @Test
    public void refusedRequestStaysRefusedAfterARestartOfAllRouters() {
        Router first = new Router();
        control.advance(2_000);
        first.crashThrice(REQUEST);
        control.advance(ALLOWED_MILLIS + 500);
        for (int restart = 0; restart < 3; restart++) {
            kill(List.of(first));
            first = new Router();
            control.advance(100);
            assertTrue(first.refuses(REQUEST), "after restart " + restart);
            assertFalse(first.refuses(REQUEST + 1));
            control.advance(30_000);
        }
    }

    // Guards against a small fleet whose routers are all killed a second after the third crash, before one has stored
    // it.
    @Test
    public void refusedRequestIsStoredWithinASecondInASmallFleet() {
        List<Router> all = List.of(new Router(), new Router(), new Router());
        all.forEach(router -> router.state.setRouterCount(all.size()));
        control.advance(2_000);
        all.get(0).crashThrice(REQUEST);
        control.advance(1_000);
        kill(all);
        Router restarted = new Router();
        control.advance(100);
        assertTrue(restarted.refuses(REQUEST));
    }

    // Guards against a part of prompts that ends engines again after each restart of all routers.
    @Test
    public void refusedPartStaysRefusedAfterARestartOfAllRouters() {
        Router first = new Router();
        control.advance(2_000);
        for (int engine = 0; engine < CrashSuspects.QUARANTINE_CRASHES; engine++) {
            first.state.partSuspects().recordEnd(List.of(PART), engine, control.monotonicMillis());
            control.advance(1_000);
        }
        // Older than the time for which ends count towards a new refusal.
        control.advance(90_000);
        kill(List.of(first));
        Router second = new Router();
        control.advance(100);
        assertTrue(second.refusesPart());
    }

    // Guards against a request that is refused for ever because each restart begins its time again.
    @Test
    public void refusalEndsWhateverRestartsThereAre() {
        Router router = new Router();
        control.advance(2_000);
        router.crashThrice(REQUEST);
        for (int minute = 0; minute < 10; minute++) {
            control.advance(60_000);
            kill(List.of(router));
            router = new Router();
        }
        control.advance(POLL_MILLIS);
        assertFalse(router.refuses(REQUEST));
        control.advance(10_000);
        assertEquals(storedCrashes(), 0, "crashes of ended refusals in the store");
    }

    // Guards against a cleared request that is refused again after a restart.
    @Test
    public void clearedRequestIsServedAfterARestartOfAllRouters() {
        Router router = new Router();
        control.advance(2_000);
        router.crashThrice(REQUEST);
        control.advance(5_000);
        router.state.suspects().recordSuccess(REQUEST, control.monotonicMillis());
        control.advance(5_000);
        kill(List.of(router));
        Router second = new Router();
        control.advance(POLL_MILLIS);
        assertFalse(second.refuses(REQUEST));
    }

    // Guards against a store that goes back to a copy without the refused requests, and that nobody tells again.
    @Test
    public void refusedRequestIsStoredAgainAfterTheStoreWentBack() {
        Router router = new Router();
        control.advance(2_000);
        FakeKeyValueStore.Copy copy = store.copy();
        router.crashThrice(REQUEST);
        control.advance(5_000);
        store.goBackTo(copy);
        control.advance(6_000);
        kill(List.of(router));
        Router second = new Router();
        control.advance(POLL_MILLIS);
        assertTrue(second.refuses(REQUEST));
    }

    // Guards against a refusal that is lost because the store was away when it was to be written, or because its
    // response was lost.
    @Test
    public void refusedRequestIsStoredAfterAnOutage() {
        Router router = new Router();
        control.advance(2_000);
        fleet.setStoreDown(true);
        router.crashThrice(REQUEST);
        control.advance(10_000);
        fleet.setStoreDown(false);
        store.loseResponses(1);
        control.advance(8_000);
        kill(List.of(router));
        Router second = new Router();
        control.advance(POLL_MILLIS);
        assertTrue(second.refuses(REQUEST));
    }

    // Guards against bytes of another writer that stop a start, or that keep refusals from being stored.
    @Test
    public void unreadableEntryIsReplaced() {
        for (String text :
                List.of("", "{", "[1]", "{\"crashes\":[{\"request\":\"no hash\"}]}", "\u0000\u0000\u0000t")) {
            store.setLatencyMillis(0);
            long revision = store.get(QuarantineRecord.KEY)
                    .join()
                    .map(KeyValue::revision)
                    .orElse(0L);
            store.compareAndSet(QuarantineRecord.KEY, revision, text.getBytes(StandardCharsets.UTF_8))
                    .join();
            store.setLatencyMillis(4);
            Router router = new Router();
            control.advance(2_000);
            assertFalse(router.refuses(REQUEST), text);
            router.crashThrice(REQUEST);
            control.advance(5_000);
            kill(List.of(router));
            Router second = new Router();
            control.advance(POLL_MILLIS);
            assertTrue(second.refuses(REQUEST), text);
            second.state.suspects().recordSuccess(REQUEST, control.monotonicMillis());
            control.advance(5_000);
            kill(List.of(second));
        }
    }

    // Guards against a storm of crashes in a large fleet that takes all writes of the store, or an entry without bound.
    @Test
    public void writesAndBytesAreBoundedInAStorm() {
        List<Router> fleetRouters = new ArrayList<>();
        for (int i = 0; i < 95; i++) {
            fleetRouters.add(new Router());
        }
        control.advance(2_000);
        int before = store.writeCount();
        int seconds = 20;
        for (int second = 0; second < seconds; second++) {
            for (int i = 0; i < 20; i++) {
                long request = 1_000L * second + i;
                fleetRouters.forEach(router -> router.crashThrice(request));
            }
            control.advance(1_000);
        }
        int writes = store.writeCount() - before;
        assertTrue(writes <= 95 * seconds, "writes " + writes);
        control.advance(10_000);
        int settled = store.writeCount();
        control.advance(30_000);
        assertEquals(store.writeCount(), settled, "writes without a change");
        assertTrue(storedBytes() <= 64 << 10, "bytes " + storedBytes());
        Router restarted = new Router();
        control.advance(POLL_MILLIS);
        assertTrue(restarted.refuses(1_000L * (seconds - 1)));
    }

    private int storedCrashes() {
        return QuarantineRecord.decode(storedValue()).crashes().size();
    }

    private int storedBytes() {
        return storedValue().length;
    }

    private byte[] storedValue() {
        store.setLatencyMillis(0);
        return store.get(QuarantineRecord.KEY).join().orElseThrow().value();
    }
}
