package io.agatelane.node.api;

import org.eclipse.jetty.client.HttpClient;

/** Creates the interfaces to one kind of platform. */
@FunctionalInterface
public interface PlatformAdapter {
    /**
     * Creates the interfaces.
     *
     * @param client started client for calls to the store and to engines
     * @param storeAddress IP:PORT
     * @param timeoutMillis longest wait for one response
     */
    FleetPorts open(HttpClient client, String storeAddress, long timeoutMillis);
}
