package io.agatelane.lab.load;

/**
 * One level of nested shared prefixes.
 *
 * @param count number of distinct texts that follow each text of the level above
 * @param tokens length of each text
 * @param skew exponent of the Zipf distribution over the texts; 0 is uniform
 */
public record PromptLevel(String name, int count, int tokens, double skew) {}
