/** Failures with a type that determines the HTTP status and whether the failed call may have run. */
package io.agatelane.core.failure;
