/** Forwards requests of any method, path and body to upstreams. */
package io.agatelane.node.forward;
