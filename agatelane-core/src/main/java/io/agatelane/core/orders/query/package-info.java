/** Side-effect-free functions that determine the desired state of an engine and the router that sends its orders. */
package io.agatelane.core.orders.query;
