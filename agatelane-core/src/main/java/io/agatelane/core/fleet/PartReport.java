package io.agatelane.core.fleet;

import java.util.OptionalLong;

/**
 * What a router has learned about a shared part of prompts. Reports may arrive twice and in any order.
 *
 * @param part fingerprint of the part
 * @param engine fingerprint of the engine's incarnation that ended when it began to answer a prompt with the part;
 *     empty when a prompt with the part was answered
 * @param ageMillis time since then
 */
public record PartReport(long part, OptionalLong engine, long ageMillis) {}
