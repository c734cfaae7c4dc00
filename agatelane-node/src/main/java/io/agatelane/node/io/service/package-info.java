/** Calls to plain services: forwarding, load balancing, and calls that may run at most once. */
package io.agatelane.node.io.service;
