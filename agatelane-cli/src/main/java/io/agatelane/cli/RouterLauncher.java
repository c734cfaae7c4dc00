package io.agatelane.cli;

import io.agatelane.node.cfg.Settings;

/** Runs a router. */
@FunctionalInterface
public interface RouterLauncher {
    /**
     * Starts a router and returns when it has stopped.
     *
     * @throws io.agatelane.core.failure.AgatelaneException when the router cannot start
     */
    void run(Settings settings);
}
