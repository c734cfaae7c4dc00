/** Decisions about one request: where it goes, whether it is taken. They change nothing. */
package io.agatelane.core.fleet.query;
