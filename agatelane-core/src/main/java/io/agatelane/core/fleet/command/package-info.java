/** Mutable state of a router: load of upstreams, loads reported by peers, crash reports, retry budget. */
package io.agatelane.core.fleet.command;
