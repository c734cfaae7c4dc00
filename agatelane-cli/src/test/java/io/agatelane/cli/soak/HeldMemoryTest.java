package io.agatelane.cli.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.platform.Caller;
import io.agatelane.platform.FakeUpstream;
import io.agatelane.platform.FakeUpstream.Behaviour;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays many responses that never end at once, against a router process with the heap of a deployed one. */
public class HeldMemoryTest {
    private static final String KEY = "key";
    private static final int RESPONSES = 400;
    private static final int SOUND_REQUESTS = 100;
    private static final int WARM_UP_REQUESTS = 500;
    private static final int MAX_SENDS = 4;
    private static final long RETRY_MILLIS = 150;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final int ROUTE_TIMEOUT_MILLIS = 20_000;
    // The least memory that a machine of the deployments has for the process.
    private static final long MEMORY_LIMIT_KILOBYTES = 240 << 10;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nResponse-Signature: s\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String SHORT_FIELDS = "a:\r\n".repeat(7_500);

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {"header lines", "/once/", HEAD + SHORT_FIELDS, "b", true},
            {"trailer lines", "/once/", CHUNKED + "5\r\nwhole\r\n0\r\n" + SHORT_FIELDS, "b", true},
            {"event", "/stream/", CHUNKED + "f0000\r\ndata: " + "a".repeat(500_000), "a", true},
            {
                "events to a caller that does not read",
                "/again/",
                CHUNKED + "f00000\r\n" + "a".repeat(800_000),
                "a",
                false
            },
        };
    }

    // Guards against a process that runs out of memory because faulty upstreams never end their responses.
    @Test(dataProvider = "responses")
    public void unendedResponsesFitIntoTheMemory(
            String part, String path, String start, String repeated, boolean isRead) throws Exception {
        Path directory = Files.createDirectories(Path.of("target", "soak", "memory-" + part.replace(' ', '-')));
        List<Caller> callers = new ArrayList<>();
        try (SoakFleet fleet = new SoakFleet(directory, ROUTE_TIMEOUT_MILLIS);
                FakeUpstream upstream = new FakeUpstream(Behaviour.RESPOND)) {
            fleet.addEntry("i-1", upstream.address());
            fleet.configure(1, List.of(KEY), () -> {});
            fleet.addRouter();
            SoakFleet.Router router = fleet.routers().get(0);
            awaitService(router);
            // A router that has just started is too slow for many requests at once.
            for (int i = 0; i < WARM_UP_REQUESTS; i++) {
                assertEquals(status(router, "/again/sound" + i), 200);
            }
            upstream.dripWith(start, repeated);
            for (int i = 0; i < RESPONSES; i++) {
                Caller caller = new Caller(router.callers());
                callers.add(caller);
                caller.write(path.equals("/once/") ? "POST" : "GET", path + i, KEY, DEADLINE_MILLIS, "");
                // The backlog of the upstream is short.
                TimeUnit.MILLISECONDS.sleep(5);
            }
            int served = 0;
            for (int i = 0; i < SOUND_REQUESTS; i++) {
                served += isServed(router, "/again/sound" + i) ? 1 : 0;
            }
            System.out.println("memory of " + part + ": " + router.peakMemoryKilobytes() + " KB, sound requests served "
                    + served + " of " + SOUND_REQUESTS + ", received "
                    + upstream.received().size());
            assertTrue(router.isRunning());
            assertEquals(served, SOUND_REQUESTS);
            assertTrue(
                    router.peakMemoryKilobytes() < MEMORY_LIMIT_KILOBYTES, part + " " + router.peakMemoryKilobytes());
        } finally {
            for (Caller caller : callers) {
                caller.close();
            }
        }
    }

    // The faulty upstream is the only one, so the router may refuse a request some times.
    private static boolean isServed(SoakFleet.Router router, String path) throws InterruptedException {
        for (int i = 0; i < MAX_SENDS; i++) {
            if (status(router, path) == 200) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        }
        return false;
    }

    private static int status(SoakFleet.Router router, String path) {
        try (Caller caller = new Caller(router.callers())) {
            return caller.send("GET", path, KEY, DEADLINE_MILLIS).status();
        } catch (IOException e) {
            return -1;
        }
    }

    private static void awaitService(SoakFleet.Router router) throws Exception {
        while (status(router, "/again/sound") != 200) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }
}
