package io.agatelane.core.fleet;

import io.agatelane.core.fleet.query.Candidate;
import java.util.Map;

/** Creates engines and candidates for tests. */
public final class FleetFixtures {
    public static final String MODEL = "m";
    public static final EngineProfile PROFILE = new EngineProfile(8, 100_000, 18_432, 88_000);

    private FleetFixtures() {}

    public static FleetUpstream engine(String id, String zone, long version) {
        return new FleetUpstream(id, 1, "engines", "10.0.0.1:80", zone, 8, false, Map.of(MODEL, version));
    }

    public static Candidate candidate(String id, String zone, long version, UpstreamEstimate estimate) {
        return new Candidate(engine(id, zone, version), estimate, version);
    }
}
