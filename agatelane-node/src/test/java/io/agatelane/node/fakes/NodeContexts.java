package io.agatelane.node.fakes;

import com.codahale.metrics.MetricRegistry;
import io.agatelane.node.api.NodeContext;
import io.agatelane.node.cfg.Settings;
import java.net.InetSocketAddress;
import java.util.List;

/** Creates settings and node contexts for tests. */
public final class NodeContexts {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_ANSWER_BYTES = 900_000;

    private NodeContexts() {}

    /** Settings on loopback with free ports. */
    public static Settings settings(String vmName) {
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        return new Settings(
                vmName,
                "zone-a",
                "region-1",
                anyPort,
                anyPort,
                anyPort,
                "http://127.0.0.1:1",
                1_000,
                1_000,
                List.of(),
                MAX_BODY_BYTES,
                MAX_ANSWER_BYTES,
                0,
                5_000,
                42);
    }

    /** A context on a fake control thread. */
    public static NodeContext context(String vmName, long incarnation, FakeControl control) {
        return new NodeContext(settings(vmName), incarnation, control, control, new MetricRegistry());
    }
}
