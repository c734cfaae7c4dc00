/** Operations that change the routing state. */
package io.agatelane.core.routing.command;
