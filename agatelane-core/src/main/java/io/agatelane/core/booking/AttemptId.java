package io.agatelane.core.booking;

/**
 * Identifies one attempt of a router to run a call.
 *
 * @param vmIncarnation start of the router's process; another value means that the attempt's state is lost
 * @param number unique within one incarnation
 */
public record AttemptId(String vmName, long vmIncarnation, long number) {}
