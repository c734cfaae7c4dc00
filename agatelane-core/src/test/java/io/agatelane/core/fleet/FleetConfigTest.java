package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

public class FleetConfigTest {
    private static final CallerLimits LIMITS = new CallerLimits(16_384, 1 << 20, 3_000, 15_000);

    // Guards against a request that is sent to the wrong service because the shorter of two matching prefixes is used.
    @Test
    public void longestPrefixWins() {
        FleetConfig config = config(route("outer", "a.example", "/x/"), route("inner", "a.example", "/x/y/"));
        assertEquals(name(config.route("a.example", "/x/y/z")), "inner");
        assertEquals(name(config.route("a.example", "/x/z")), "outer");
    }

    // Guards against a 404 for a host that is written with a port or in upper case.
    @Test
    public void hostIsComparedWithoutPortAndCase() {
        FleetConfig config = config(route("r", "a.example", "/x/"));
        assertEquals(name(config.route("A.Example:8080", "/x/1")), "r");
    }

    // Guards against a prefix that matches in the middle of a path segment.
    @Test
    public void prefixEndsAtASegment() {
        FleetConfig config = config(route("r", "a.example", "/x/"));
        assertEquals(config.route("a.example", "/xy/1"), Optional.empty());
        assertEquals(config.route("b.example", "/x/1"), Optional.empty());
    }

    // Guards against requests to a service with weight 0, and against random numbers that select no service.
    @Test
    public void weightsShareRequests() {
        Route route = new Route(
                "r",
                "a.example",
                "/",
                RequestKind.IDEMPOTENT,
                1,
                1_000,
                100,
                0,
                List.of(new WeightedService("none", 0), new WeightedService("many", 3), new WeightedService("few", 1)),
                false,
                false);
        assertEquals(route.serviceFor(0), "many");
        assertEquals(route.serviceFor(0.74), "many");
        assertEquals(route.serviceFor(0.76), "few");
        assertEquals(route.serviceFor(0.999_999), "few");
    }

    // Guards against a call that runs twice because its kind allows a second attempt.
    @Test
    public void onlyRepeatableKindsRunAgain() {
        assertTrue(RequestKind.IDEMPOTENT.mayRunAgain(false));
        assertFalse(RequestKind.AT_MOST_ONCE.mayRunAgain(true));
        assertFalse(RequestKind.STREAM.mayRunAgain(false));
        assertTrue(RequestKind.STREAM.mayRunAgain(true));
    }

    private static String name(Optional<Route> route) {
        return route.map(Route::name).orElse("none");
    }

    private static FleetConfig config(Route... routes) {
        return new FleetConfig(1, List.of(routes), Map.of(), List.of(), Map.of(), false, LIMITS);
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.IDEMPOTENT,
                1,
                1_000,
                100,
                0,
                List.of(new WeightedService("s", 1)),
                false,
                false);
    }
}
