/** The fleet router: its view of the deployment, the gossip between routers, and the roll-out of weights. */
package io.agatelane.node.fleet;
