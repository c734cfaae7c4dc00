package io.agatelane.node.io.orders;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.core.model.ConfigSnapshot;
import io.agatelane.core.model.Model;
import io.agatelane.core.model.Upstream;
import io.agatelane.core.orders.OrderTiming;
import io.agatelane.node.api.MemberState;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.fakes.FakeConfigView;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeMembership;
import io.agatelane.node.fakes.FakeRouterControl;
import io.agatelane.node.fakes.NodeContexts;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class OrderControllerTest {
    private static final long TAKEOVER_MILLIS = OrderTiming.DEFAULT.takeoverMillis();

    private FakeControl clock;
    private FakeKeyValueStore store;
    private FakeEngines engines;

    @BeforeMethod
    public void open() {
        clock = new FakeControl();
        store = new FakeKeyValueStore(clock);
        store.setLatencyMillis(4);
        engines = new FakeEngines(clock);
    }

    @DataProvider
    public Object[][] fencing() {
        return new Object[][] {{true}, {false}};
    }

    // Guards against an order for older weights that a paused router sends after another router ordered newer ones.
    @Test(dataProvider = "fencing")
    public void routerPausedBeforeSendingLeavesNoOlderWeights(boolean checksFencing) {
        Router a = new Router("a", "a");
        Router b = new Router("b", "a", "b");
        b.membership.put("a", MemberState.ALIVE, 1);
        pauseBeforeSending(a, checksFencing);
        b.membership.put("a", MemberState.DEAD, 1);
        b.config.set(config(3, "v3", checksFencing, "e"));
        clock.advance(4 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").weights, "v3");
        a.control.resume();
        clock.advance(4 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").history, List.of("v1", "v3"));
        assertEquals(a.client.sentOrders, 0);
    }

    // Guards against an order that a router sends after its lease expired, while the next holder waits until the
    // last order of this router has taken effect.
    @Test
    public void noOrderAfterTheLeaseEnded() {
        Router a = new Router("a", "a");
        Router b = new Router("b", "a", "b");
        pauseBeforeSending(a, false);
        b.membership.put("a", MemberState.DEAD, 1);
        b.config.set(config(3, "v3", false, "e"));
        clock.advance(OrderTiming.DEFAULT.leaseMillis() + 20_000);
        a.control.resume();
        clock.advance(10_000);
        assertEquals(a.client.sentOrders, 0);
        assertEquals(b.client.sentOrders, 0, "the next holder did not wait");
        clock.advance(2 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").history, List.of("v1", "v3"));
    }

    // Shows that the first test can fail: without fencing number, lease and read-back, the engine ends with older
    // weights.
    @Test(dataProvider = "fencing")
    public void naiveSenderLeavesOlderWeights(boolean checksFencing) {
        FakeRouterControl controlA = new FakeRouterControl(clock);
        FakeRouterControl controlB = new FakeRouterControl(clock);
        FakeConfigView configA = new FakeConfigView();
        FakeConfigView configB = new FakeConfigView();
        new NaiveOrderSender(controlA, configA, store, engines.client());
        new NaiveOrderSender(controlB, configB, store, engines.client());
        configA.set(config(2, "v2", checksFencing, "e"));
        clock.advance(502);
        controlA.pause();
        configB.set(config(3, "v3", checksFencing, "e"));
        clock.advance(4 * TAKEOVER_MILLIS);
        controlA.resume();
        clock.advance(4 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").history, List.of("v1", "v3", "v2"));
    }

    // Guards against an order that has left its router and arrives after an order from a newer configuration.
    @Test
    public void lateOrderIsRefusedByEngineThatChecksFencing() {
        Router a = new Router("a", "a");
        Router b = new Router("b", "a", "b");
        a.client.holdOrders = true;
        a.config.set(config(2, "v2", true, "e"));
        clock.advance(5_000);
        b.membership.put("a", MemberState.DEAD, 1);
        b.config.set(config(3, "v3", true, "e"));
        clock.advance(4 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").weights, "v3");
        a.client.releaseOrders();
        clock.advance(TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").history, List.of("v1", "v3"));
        assertEquals(engines.engine("e").staleOrders, 1);
    }

    // Guards against a new holder that sends an order before the last order of the previous holder has taken effect.
    @Test
    public void nextHolderOrdersAfterTheLastOrderTookEffect() {
        Router a = new Router("a", "a");
        Router b = new Router("b", "a", "b");
        a.client.holdOrders = true;
        a.config.set(config(2, "v2", false, "e"));
        clock.advance(TAKEOVER_MILLIS + 2_000);
        assertEquals(a.client.sentOrders, 1);
        a.control.pause();
        b.membership.put("a", MemberState.DEAD, 1);
        b.config.set(config(3, "v3", false, "e"));
        clock.advance(OrderTiming.DEFAULT.longestOrderMillis() - engines.loadMillis - 2_000);
        a.client.releaseOrders();
        clock.advance(6 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").history, List.of("v1", "v2", "v3"));
    }

    // Guards against older weights that stay in force when an order arrives later than the longest time assumed for it.
    @Test
    public void readBackCorrectsAnOrderThatArrivesTooLate() {
        Router a = new Router("a", "a");
        Router b = new Router("b", "a", "b");
        a.client.holdOrders = true;
        a.config.set(config(2, "v2", false, "e"));
        clock.advance(TAKEOVER_MILLIS + 2_000);
        a.control.pause();
        b.membership.put("a", MemberState.DEAD, 1);
        b.config.set(config(3, "v3", false, "e"));
        clock.advance(6 * TAKEOVER_MILLIS);
        a.client.releaseOrders();
        clock.advance(4 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").weights, "v3");
    }

    // Guards against a router with an older configuration that reverts an order from a newer configuration.
    @Test(dataProvider = "fencing")
    public void olderConfigurationDoesNotOverrideNewerOne(boolean checksFencing) {
        Router a = new Router("a", "a");
        Router b = new Router("b", "b");
        b.config.set(config(3, "v3", checksFencing, "e"));
        clock.advance(3 * TAKEOVER_MILLIS);
        a.config.set(config(2, "v2", checksFencing, "e"));
        clock.advance(6 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").history, List.of("v1", "v3"));
    }

    // Guards against a roll-out that takes more than two engines, or both engines of a small model, out of service.
    @Test(dataProvider = "fencing")
    public void rollOutLoadsAtMostTwoEnginesAtOnce(boolean checksFencing) {
        String[] names = {"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"};
        List<Router> routers = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            routers.add(new Router(name, "a", "b", "c"));
        }
        routers.forEach(router -> router.config.set(config(2, "v2", checksFencing, names)));
        clock.advance(2 * TAKEOVER_MILLIS);
        for (String name : names) {
            assertEquals(engines.engine(name).history, List.of("v1", "v2"), name);
        }
        assertEquals(engines.maxConcurrentLoads, 2);
        assertEquals(
                routers.stream().mapToInt(router -> router.client.sentOrders).sum(), 8);
        assertTrue(
                routers.stream().filter(router -> router.client.sentOrders > 0).count() > 1);
        assertFalse(store.backup().keySet().stream().anyMatch(key -> key.startsWith("orders/slots/")));

        engines.loadMillis = 6_000;
        routers.forEach(router -> router.config.set(config(3, "v3", checksFencing, "pair1", "pair2")));
        clock.advance(3 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("pair1").weights + engines.engine("pair2").weights, "v3v3");
        assertEquals(engines.maxConcurrentPairLoads, 1);
    }

    // Guards against lost responses that stop a roll-out, repeat loads forever, or leave slots taken.
    @Test(dataProvider = "fencing")
    public void lostResponsesOnlyDelayOrders(boolean checksFencing) {
        Router a = new Router("a", "a");
        for (int round = 0; round < 8; round++) {
            store.loseResponses(1 + round % 4);
            a.config.set(config(2 + round, "w" + round, checksFencing, "e1", "e2", "e3"));
            clock.advance(round * 3L);
            store.loseResponses(1);
            clock.advance(6 * TAKEOVER_MILLIS);
            for (String name : List.of("e1", "e2", "e3")) {
                assertEquals(engines.engine(name).weights, "w" + round);
            }
        }
        assertEquals(engines.maxConcurrentLoads, 2);
        assertTrue(a.client.sentOrders <= 3 * 8 * 2, "sent " + a.client.sentOrders);
    }

    // Guards against orders sent while their record cannot be written, and against orders that stay away after an
    // outage.
    @Test
    public void platformOutageStopsOrders() {
        Router a = new Router("a", "a");
        store.setOutage(true);
        a.config.set(config(2, "v2", true, "e"));
        clock.advance(2 * TAKEOVER_MILLIS);
        assertEquals(a.client.sentOrders, 0);
        store.setOutage(false);
        clock.advance(2 * TAKEOVER_MILLIS);
        assertEquals(engines.engine("e").weights, "v2");
    }

    // Guards against slots of a crashed router that stay taken, and against a takeover while its loads still run.
    @Test
    public void slotsOfACrashedRouterAreTakenOver() {
        engines.loadMillis = 14_000;
        Router a = new Router("a", "a");
        Router b = new Router("b", "b");
        a.config.set(config(2, "v2", true, "e1", "e2", "e3"));
        clock.advance(2_000);
        a.control.pause();
        b.config.set(config(2, "v2", true, "e1", "e2", "e3"));
        clock.advance(8 * TAKEOVER_MILLIS);
        for (String name : List.of("e1", "e2", "e3")) {
            assertEquals(engines.engine(name).weights, "v2", name);
        }
        assertEquals(engines.maxConcurrentLoads, 2);
    }

    // Guards against an engine that restarts with other weights and keeps them, and against orders to an engine that is
    // down.
    @Test
    public void restartedEngineIsOrderedAgain() {
        Router a = new Router("a", "a");
        a.config.set(config(2, "v2", true, "e"));
        clock.advance(TAKEOVER_MILLIS);
        FakeEngines.Engine engine = engines.engine("e");
        engine.down = true;
        clock.advance(TAKEOVER_MILLIS);
        engine.down = false;
        engine.weights = "v1";
        engine.highestFencingNumber = 0;
        clock.advance(TAKEOVER_MILLIS);
        assertEquals(engine.weights, "v2");
        assertEquals(a.client.sentOrders, 2);
    }

    /** Pauses a router after it has written the record of its first order and before it sends this order. */
    private void pauseBeforeSending(Router router, boolean checksFencing) {
        router.config.set(config(2, "v2", checksFencing, "e"));
        for (int i = 0; i < 100_000 && !store.backup().containsKey("orders/e"); i++) {
            clock.advance(1);
        }
        router.control.pause();
        clock.advance(1);
        assertEquals(router.client.sentOrders, 0, "the pause came too late for this test");
    }

    private static ConfigSnapshot config(long revision, String weights, boolean checksFencing, String... names) {
        ConfigSnapshot.Builder builder =
                ConfigSnapshot.builder().revision(revision).add(new Model("m", weights, 8_192, 256, ""));
        for (String name : names) {
            builder.add(new Upstream(name, "http://127.0.0.1:1", "zone-a", List.of("m"), "", 8, checksFencing, false));
        }
        return builder.build();
    }

    private final class Router {
        private final FakeRouterControl control = new FakeRouterControl(clock);
        private final FakeConfigView config = new FakeConfigView();
        private final FakeMembership membership;
        private final FakeEngines.Client client = engines.client();

        private Router(String name, String... members) {
            membership = new FakeMembership(name, members);
            NodeContext context =
                    new NodeContext(NodeContexts.settings(name), 1_000, control, control, new MetricRegistry());
            new OrderController(context, config, membership, store, OrderTiming.DEFAULT, client).start();
            clock.runPending();
        }
    }
}
