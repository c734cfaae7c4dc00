package io.agatelane.core.fleet;

/**
 * A version of a model's weights that the operator named.
 *
 * @param seenMillis monotonic time at which this router first read it
 * @param sawNaming whether the router had read the store before; otherwise the version may have been named long ago
 */
public record NamedWeights(long version, long seenMillis, boolean sawNaming) {}
