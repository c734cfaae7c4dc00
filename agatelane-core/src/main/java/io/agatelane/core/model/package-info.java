/** Immutable configuration objects and the snapshot that holds them. */
package io.agatelane.core.model;
