/**
 * State machine of one partition of bookings. Each event returns the effects, such as store calls and replies, that the
 * caller has to carry out.
 */
package io.agatelane.core.booking.command;
