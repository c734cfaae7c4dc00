package io.agatelane.node.fleet;

import java.net.InetSocketAddress;

/**
 * A router as it has entered itself in the store.
 *
 * @param vm name of its VM
 * @param zone availability zone
 * @param address where it takes packets of the other routers
 */
record RouterEntry(String vm, String zone, InetSocketAddress address) {}
