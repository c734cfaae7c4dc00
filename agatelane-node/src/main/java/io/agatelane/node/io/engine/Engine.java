package io.agatelane.node.io.engine;

import io.agatelane.core.model.Upstream;
import io.agatelane.core.routing.UpstreamState;
import java.util.concurrent.atomic.AtomicBoolean;

/** An engine of the configuration with its state on this router. */
final class Engine {
    private final Upstream upstream;
    private final UpstreamState state;
    private final AtomicBoolean polling = new AtomicBoolean();
    private volatile int failedPolls;

    Engine(Upstream upstream, UpstreamState state) {
        this.upstream = upstream;
        this.state = state;
    }

    /** Returns an engine with a newer configuration and the same state. */
    Engine withUpstream(Upstream newUpstream) {
        return new Engine(newUpstream, state);
    }

    String name() {
        return upstream.name();
    }

    String baseUrl() {
        return upstream.baseUrl();
    }

    Upstream upstream() {
        return upstream;
    }

    UpstreamState state() {
        return state;
    }

    /** Marks a poll as running; returns false while another one is. */
    boolean tryBeginPoll() {
        return polling.compareAndSet(false, true);
    }

    void endPoll() {
        polling.set(false);
    }

    int failedPolls() {
        return failedPolls;
    }

    void setFailedPolls(int count) {
        failedPolls = count;
    }
}
