package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeRouterControl;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Routers that start while the store goes back to an older copy. */
public class EraMarkerTest {
    private static final long POLL_MILLIS = 700;
    // Time that the operator has to write its configuration again.
    private static final long REWRITE_MILLIS = 3_000;

    private FakeControl control;
    private FakeKeyValueStore store;
    private FakeFleet fleet;
    private int routers;

    @BeforeMethod
    public void start() {
        control = new FakeControl();
        store = new FakeKeyValueStore(control);
        fleet = new FakeFleet(control, store, 1);
        fleet.configure(5);
        routers = 0;
    }

    private final class Router {
        private final FakeRouterControl routerControl = new FakeRouterControl(control);
        private final FleetState state = new FleetState();
        private final StorePoller poller;

        private Router() {
            Random random = new Random(routers++);
            poller = new StorePoller(
                    fleet, state, routerControl, routerControl, random, POLL_MILLIS, new MetricRegistry());
            new EraMarker(store, poller, routerControl, routerControl, random, state::routerCount).start();
            poller.start();
            control.advance(50);
        }

        private boolean isProven() {
            return state.snapshot().configAgeMillis(routerControl.now()) <= 2 * POLL_MILLIS;
        }
    }

    // Guards against a revoked key that all routers accept because they start on a copy which still has it.
    @Test
    public void configurationOfACopyProvesNothingAfterTheStart() {
        Router before = new Router();
        assertTrue(before.isProven(), "a store without eras");
        FakeKeyValueStore.Copy copy = store.copy();
        before.routerControl.kill();
        store.goBackTo(copy);
        Router started = new Router();
        assertEquals(started.state.snapshot().config().orElseThrow().version(), 5);
        assertFalse(started.isProven());
        fleet.configure(6);
        control.advance(POLL_MILLIS);
        assertTrue(started.isProven(), "the operator has written again");
    }

    // Guards against routers that refuse requests for good, or after each restart, because the operator has nothing to
    // write again.
    @Test
    public void eraIsProvenOnceForAllRouters() {
        store.goBackTo(store.copy());
        Router first = new Router();
        assertFalse(first.isProven());
        control.advance(REWRITE_MILLIS + POLL_MILLIS);
        assertTrue(first.isProven());
        control.advance(2_000);
        first.routerControl.kill();
        assertTrue(new Router().isProven());
        FakeKeyValueStore.Copy copy = store.copy();
        store.goBackTo(copy);
        assertFalse(new Router().isProven(), "the copy holds the number of the era before");
    }

    // Guards against bytes of another writer that count as an era, or that are never replaced.
    @Test
    public void unreadableMarkerIsReplaced() {
        store.goBackTo(store.copy());
        store.compareAndSet(EraMarker.KEY, 0, "later".getBytes(StandardCharsets.UTF_8))
                .join();
        Router first = new Router();
        assertFalse(first.isProven());
        control.advance(REWRITE_MILLIS + 2_000);
        assertTrue(new Router().isProven());
    }

    // Guards against routers that write the marker again and again.
    @Test
    public void markerIsWrittenOnce() {
        store.goBackTo(store.copy());
        for (int i = 0; i < 20; i++) {
            new Router();
        }
        control.advance(60_000);
        assertTrue(store.writeCount() <= 3, "writes " + store.writeCount());
    }
}
