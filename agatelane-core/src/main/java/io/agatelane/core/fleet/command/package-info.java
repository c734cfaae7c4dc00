/** State that changes with requests and orders: load of upstreams, retry budget, roll-out of weights. */
package io.agatelane.core.fleet.command;
