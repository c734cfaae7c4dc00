/** Admission decisions. Nothing in this package changes state. */
package io.agatelane.core.limits.query;
