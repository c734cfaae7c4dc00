/** SWIM membership of the routers and exchange of hints by UDP gossip. */
package io.agatelane.node.io.gossip;
