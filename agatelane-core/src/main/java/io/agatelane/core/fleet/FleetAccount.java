package io.agatelane.core.fleet;

import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param priority goes before the priority of a route
 * @param isolated whether its cached prompt parts are shared with no other account
 */
public record FleetAccount(String name, OptionalInt priority, boolean isolated) {}
