/**
 * Records of calls that run at most once. A booking is the stored claim and outcome of such a call; bookings are
 * divided into partitions, each of which is stored in segments.
 */
package io.agatelane.core.booking;
