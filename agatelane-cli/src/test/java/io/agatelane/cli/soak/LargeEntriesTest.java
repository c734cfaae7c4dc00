package io.agatelane.cli.soak;

import static org.testng.Assert.assertEquals;

import io.agatelane.platform.Caller;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Plays another writer that leaves more bytes among the upstreams' entries than the heap of a router holds. */
public class LargeEntriesTest {
    private static final String KEY = "key";
    private static final String FIRST_KEYS = "servers/a-large-";
    private static final long DEADLINE_MILLIS = 1_500;
    private static final int WAIT_MILLIS = 30_000;
    private static final int RETRY_MILLIS = 100;

    // Guards against routers that never read the store again, or that start without upstreams, because of entries that
    // they cannot use.
    @Test
    public void routersFollowTheStoreBesideLargeEntries() throws Exception {
        Path directory = Files.createDirectories(Path.of("target", "soak", "large-entries"));
        try (SoakFleet fleet = new SoakFleet(directory)) {
            fleet.addUpstream();
            configure(fleet, 1);
            fleet.addRouter();
            awaitRoute(fleet, 0, 1);
            write(fleet, "fill " + FIRST_KEYS);
            configure(fleet, 2);
            awaitRoute(fleet, 0, 2);
            fleet.addRouter();
            awaitRoute(fleet, 1, 2);
            configure(fleet, 3);
            awaitRoute(fleet, 0, 3);
            awaitRoute(fleet, 1, 3);
            write(fleet, "clear " + FIRST_KEYS);
            configure(fleet, 4);
            awaitRoute(fleet, 0, 4);
            awaitRoute(fleet, 1, 4);
        }
    }

    private static void configure(SoakFleet fleet, int version) throws Exception {
        CompletableFuture<Void> written = new CompletableFuture<>();
        fleet.configure(version, List.of(KEY), () -> written.complete(null));
        written.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void write(SoakFleet fleet, String command) throws Exception {
        CompletableFuture<Void> written = new CompletableFuture<>();
        fleet.writeStore(command, () -> written.complete(null));
        written.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    // Only the configuration with this version has the route.
    private static void awaitRoute(SoakFleet fleet, int router, int version) throws Exception {
        String path = "/only-" + version + "/x";
        int status = 0;
        for (int waited = 0; status != 200 && waited < WAIT_MILLIS; waited += RETRY_MILLIS) {
            status = status(fleet.routers().get(router), path);
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
        assertEquals(status, 200, path + " at router " + router);
    }

    private static int status(SoakFleet.Router router, String path) {
        try (Caller caller = new Caller(router.callers())) {
            return caller.send("GET", path, KEY, DEADLINE_MILLIS).status();
        } catch (IOException e) {
            // The router does not listen yet.
            return 0;
        }
    }
}
