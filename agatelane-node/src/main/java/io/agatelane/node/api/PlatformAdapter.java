package io.agatelane.node.api;

import org.eclipse.jetty.client.HttpClient;

/** Creates the interfaces to one kind of platform. */
@FunctionalInterface
public interface PlatformAdapter {
    /**
     * Creates the interfaces.
     *
     * @param storeClient started client for calls to the store
     * @param engineClient started client for calls to engines, which opens a connection for each call: a late second
     *     response to an earlier call cannot be mistaken for the response to a later one
     * @param storeAddress IP:PORT
     * @param timeoutMillis longest wait for one response
     */
    FleetPorts open(HttpClient storeClient, HttpClient engineClient, String storeAddress, long timeoutMillis);
}
