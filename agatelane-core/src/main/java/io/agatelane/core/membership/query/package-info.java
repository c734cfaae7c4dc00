/** Read-only views and counters of the membership. */
package io.agatelane.core.membership.query;
