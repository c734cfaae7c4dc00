package io.agatelane.node.fleet;

import java.net.InetSocketAddress;

/**
 * The entry of a router in the store.
 *
 * @param vm name of its VM
 * @param zone availability zone
 * @param address where it receives gossip packets of the other routers
 */
record RouterEntry(String vm, String zone, InetSocketAddress address) {}
