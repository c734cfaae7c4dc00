package io.agatelane.node.fleet;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
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

    private static void write(FakeKeyValueStore store, String name, String value) {
        var unused = store.compareAndSet("agatelane/router/" + name, 0, value.getBytes(StandardCharsets.UTF_8));
    }
}
