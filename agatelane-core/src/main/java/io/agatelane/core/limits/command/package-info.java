/** Operations that change the admission state. */
package io.agatelane.core.limits.command;
