/** Settings of a router and the readers of its settings files. */
package io.agatelane.node.cfg;
