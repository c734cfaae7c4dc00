/** Checks whether a request is quarantined or a suspect. */
package io.agatelane.core.poison.query;
