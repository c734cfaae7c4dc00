package io.agatelane.core.fleet;

import java.util.Optional;

/**
 * A service that requests are routed to.
 *
 * @param connectionLimit maximum number of connections that one upstream accepts from all routers together
 * @param engine present when the upstreams are model engines
 */
public record FleetService(String name, int connectionLimit, Optional<EngineProfile> engine) {}
