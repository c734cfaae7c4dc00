package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class RouterRegistryTest {
    private static final long POLL_MILLIS = 700;

    // Guards against an entry of another writer among those of the routers: one that stops the gossip, a host name that
    // is looked up on the control thread, or an address to which no packet can be sent.
    @Test
    public void oddEntriesNameNoRouter() {
        FakeControl control = new FakeControl();
        FakeKeyValueStore store = new FakeKeyValueStore(control);
        FakeFleet fleet = new FakeFleet(control, store, 1);
        RouterEntry self = new RouterEntry("vm-1", "z", new InetSocketAddress("127.0.0.1", 7_000));
        StorePoller poller = new StorePoller(
                fleet, new FleetState(), control, control, new Random(1), POLL_MILLIS, new MetricRegistry());
        RouterRegistry registry = new RouterRegistry(store, poller, control, control, new Random(1), self);
        List<String> odd = List.of(
                "", ":", "::", "10.0.0.2:z", "10.0.0.2:99999:z", "10.0.0.2:0:z", "10.0.0.300:7:z", "localhost:7:z");
        for (int i = 0; i < odd.size(); i++) {
            write(store, "odd-" + i, odd.get(i));
        }
        write(store, "vm-2", "10.0.0.2:7000:z2");
        poller.start();
        control.advance(POLL_MILLIS);
        assertEquals(
                registry.others(), List.of(new RouterEntry("vm-2", "z2", new InetSocketAddress("10.0.0.2", 7_000))));
    }

    // Guards against a router that counts itself as the only one, and takes the shares of all, while the store has lost
    // the entries; and against two routers that keep one lease alive because the store gave its id out again.
    @Test
    public void routersThatTheStoreHasLostCountUntilTheyAreBack() {
        FakeControl control = new FakeControl();
        FakeKeyValueStore store = new FakeKeyValueStore(control);
        store.setLatencyMillis(4);
        FakeKeyValueStore.Copy empty = store.copy();
        List<RouterRegistry> registries = IntStream.range(0, 4)
                .mapToObj(number -> registry(control, store, number))
                .toList();
        control.advance(10_000);
        store.goBackTo(empty);
        for (int millis = 0; millis < 60_000; millis += 100) {
            control.advance(100);
            registries.forEach(registry -> assertEquals(registry.others().size(), 3));
        }
        assertEquals(store.copy().values().size(), 4);
    }

    private static RouterRegistry registry(FakeControl control, FakeKeyValueStore store, int number) {
        Random random = new Random(number);
        RouterEntry self = new RouterEntry("vm-" + number, "z", new InetSocketAddress("127.0.0.1", 7_000 + number));
        StorePoller poller = new StorePoller(
                new FakeFleet(control, store, 1),
                new FleetState(),
                control,
                control,
                random,
                POLL_MILLIS,
                new MetricRegistry());
        RouterRegistry registry = new RouterRegistry(store, poller, control, control, random, self);
        poller.subscribe(registry::others);
        registry.start();
        poller.start();
        return registry;
    }

    private static void write(FakeKeyValueStore store, String name, String value) {
        var unused = store.compareAndSet("agatelane/router/" + name, 0, value.getBytes(StandardCharsets.UTF_8));
    }
}
