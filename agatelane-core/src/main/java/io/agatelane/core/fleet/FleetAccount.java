package io.agatelane.core.fleet;

import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param priority overrides the priority of the route
 * @param isolated whether its cached prompt parts are not shared with other accounts
 */
public record FleetAccount(String name, OptionalInt priority, boolean isolated) {}
