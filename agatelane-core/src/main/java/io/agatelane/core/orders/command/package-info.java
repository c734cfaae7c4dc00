/** State machines that decide the next step of an order and which slot a weight load takes; not thread-safe. */
package io.agatelane.core.orders.command;
