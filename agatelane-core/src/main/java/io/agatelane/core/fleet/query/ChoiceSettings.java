package io.agatelane.core.fleet.query;

/**
 * Settings for the choice of an upstream.
 *
 * @param zone availability zone of this router
 * @param crossZoneMillis cost of an upstream in another zone, as milliseconds to the first byte: a round trip between
 *     zones plus the price of the bytes
 */
public record ChoiceSettings(String zone, double crossZoneMillis) {}
