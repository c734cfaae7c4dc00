/** Side-effect-free functions on bookings: the decision about a claim and the size of stored entries. */
package io.agatelane.core.booking.query;
