/**
 * State and values for the choice of model engines: {@code command} changes the state, {@code query} makes decisions on
 * it.
 */
package io.agatelane.core.routing;
