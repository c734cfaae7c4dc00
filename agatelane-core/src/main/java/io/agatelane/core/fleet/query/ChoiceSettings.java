package io.agatelane.core.fleet.query;

/**
 * Weights of the choice of an upstream, all in milliseconds to the first byte.
 *
 * @param zone availability zone of this router
 * @param crossZoneMillis preference for an upstream in the own zone: a round trip between zones plus the price of the
 *     bytes
 * @param prefillTokensPerMilli prompt tokens that an engine reads in a millisecond
 */
public record ChoiceSettings(String zone, double crossZoneMillis, double prefillTokensPerMilli) {}
