package io.agatelane.cli.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.cli.soak.ChildProcess.Signal;
import io.agatelane.platform.Caller;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays a request that many callers repeat while all upstreams of its service fail together. */
public class PopularRequestTest {
    private static final String KEY = "key";
    private static final String POPULAR = "/again/popular";
    private static final int ROUTERS = 3;
    private static final int UPSTREAMS = 3;
    private static final int CALLERS = 9;
    private static final int REFUSED = 422;
    private static final long DEADLINE_MILLIS = 700;
    private static final long PAUSE_MILLIS = 60;
    private static final int WAIT_MILLIS = 30_000;

    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean stopped;

    @DataProvider
    public Object[][] silences() {
        return new Object[][] {{"killed", 0L}, {"silent", 3_000L}};
    }

    // Guards against a sound request that all routers refuse, and that is never cleared, because it ran on every
    // upstream when these failed together.
    @Test(dataProvider = "silences")
    public void popularRequestIsServedAfterAllUpstreamsFailed(String failure, long silentMillis) throws Exception {
        Path directory = Files.createDirectories(Path.of("target", "soak", "popular-" + failure));
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        stopped = false;
        refused.set(0);
        try (SoakFleet fleet = new SoakFleet(directory)) {
            for (int i = 0; i < UPSTREAMS; i++) {
                fleet.addUpstream();
            }
            fleet.configure(1, List.of(KEY), () -> {});
            for (int i = 0; i < ROUTERS; i++) {
                fleet.addRouter("z" + i);
            }
            awaitService(fleet);
            List<Future<Void>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                SoakFleet.Router router = fleet.routers().get(i % ROUTERS);
                callers.add(threads.submit(() -> callAgainAndAgain(router)));
            }
            TimeUnit.MILLISECONDS.sleep(2_000);
            failTogether(fleet, silentMillis);
            for (int i = 0; i < UPSTREAMS; i++) {
                fleet.addUpstream();
            }
            awaitService(fleet);
            stopped = true;
            for (Future<Void> caller : callers) {
                caller.get();
            }
            assertEquals(refused.get(), 0, "logs in " + directory);
        } finally {
            stopped = true;
            threads.shutdownNow();
            assertTrue(threads.awaitTermination(10, TimeUnit.SECONDS));
        }
    }

    private static void failTogether(SoakFleet fleet, long silentMillis) throws Exception {
        List<SoakFleet.Upstream> failing = List.copyOf(fleet.upstreams());
        if (silentMillis > 0) {
            for (SoakFleet.Upstream upstream : failing) {
                upstream.process().send(Signal.STOP);
            }
            TimeUnit.MILLISECONDS.sleep(silentMillis);
        }
        for (SoakFleet.Upstream upstream : failing) {
            fleet.removeUpstream(upstream);
        }
    }

    private Void callAgainAndAgain(SoakFleet.Router router) throws InterruptedException {
        while (!stopped) {
            refused.addAndGet(status(router) == REFUSED ? 1 : 0);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        return null;
    }

    private static void awaitService(SoakFleet fleet) throws InterruptedException {
        for (SoakFleet.Router router : fleet.routers()) {
            int status = 0;
            for (int waited = 0; status != 200 && waited < WAIT_MILLIS; waited += PAUSE_MILLIS) {
                status = status(router);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
            assertEquals(status, 200, router.name());
        }
    }

    private static int status(SoakFleet.Router router) {
        try (Caller caller = new Caller(router.callers())) {
            return caller.send("GET", POPULAR, KEY, DEADLINE_MILLIS).status();
        } catch (IOException e) {
            // The router does not listen yet, or has closed the connection; the next call follows.
            return 0;
        }
    }
}
