/** Sends orders to engines: their keys in the store, the HTTP client and the controller of their steps. */
package io.agatelane.node.io.orders;
