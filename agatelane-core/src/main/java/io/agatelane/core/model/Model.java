package io.agatelane.core.model;

/** A model and the weights version that new requests must use. */
public record Model(
        String name, String weightsVersion, int maxContextTokens, int defaultMaxTokens, String routingPolicy) {
    /** Returns a copy with another weights version. */
    public Model withWeightsVersion(String newWeightsVersion) {
        return new Model(name, newWeightsVersion, maxContextTokens, defaultMaxTokens, routingPolicy);
    }
}
