/** Records engine crashes that this router observed or that other routers reported. */
package io.agatelane.core.poison.command;
