package io.agatelane.core.booking.command;

/**
 * Time of an event on two clocks.
 *
 * @param monotonicMillis monotonic time, for durations within this process
 * @param epochMillis wall-clock time, only for stored time stamps
 */
public record EventTime(long monotonicMillis, long epochMillis) {}
