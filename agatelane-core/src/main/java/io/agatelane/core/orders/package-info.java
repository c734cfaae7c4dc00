/**
 * Orders, the commands that bring an engine into the state that the configuration requires: the desired state, the
 * stored order record with its fencing number, and the time limits.
 */
package io.agatelane.core.orders;
