package io.agatelane.node.fleet;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.node.util.EventLog;
import java.util.Map;
import java.util.stream.Collectors;

/** Logs what changes between two views of the fleet. */
final class FleetViewLog {
    private static final EventLog LOG = EventLog.of(FleetViewLog.class);

    private FleetViewLog() {}

    /**
     * Logs changes of the configuration, the requested weights and the upstreams.
     *
     * @param unreadMillis time since the read before, within which the changes can have happened; negative if unknown
     */
    static void logChanges(FleetView before, FleetView after, long unreadMillis) {
        long oldVersion = before.config().map(config -> config.version()).orElse(0L);
        long newVersion = after.config().map(config -> config.version()).orElse(0L);
        if (oldVersion != newVersion) {
            LOG.event("config_applied")
                    .with("version", newVersion)
                    .with("before", oldVersion)
                    .with("routes", after.config().get().routeCount())
                    .info();
        }
        after.newestWeightsVersions().forEach((model, version) -> {
            if (!version.equals(before.newestWeightsVersions().get(model))) {
                LOG.event("weights_named")
                        .with("model", model)
                        .with("version", version)
                        .with("unread_ms", unreadMillis)
                        .info();
            }
        });
        Map<String, FleetUpstream> known = byKey(before);
        Map<String, FleetUpstream> now = byKey(after);
        now.forEach((key, upstream) -> {
            if (!upstream.equals(known.get(key))) {
                logUpstream("upstream_changed", upstream);
            }
        });
        known.forEach((key, upstream) -> {
            if (!now.containsKey(key)) {
                logUpstream("upstream_gone", upstream);
            }
        });
    }

    private static Map<String, FleetUpstream> byKey(FleetView view) {
        return view.upstreams().stream()
                .collect(Collectors.toMap(FleetUpstream::key, upstream -> upstream, (a, b) -> b));
    }

    private static void logUpstream(String event, FleetUpstream upstream) {
        LOG.event(event)
                .with("upstream", upstream.key())
                .with("service", upstream.service())
                .with("address", upstream.address())
                .with("zone", upstream.zone())
                .with("draining", upstream.draining())
                .with("weights", upstream.weightsVersions())
                .info();
    }
}
