/** State machine of the membership protocol, driven by packets and ticks on a single thread. */
package io.agatelane.core.membership.command;
