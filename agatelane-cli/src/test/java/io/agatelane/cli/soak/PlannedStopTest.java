package io.agatelane.cli.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.cli.soak.ChildProcess.Signal;
import io.agatelane.platform.Caller;
import io.agatelane.platform.FakeUpstream.Behaviour;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Stops a router's process as the platform does, while callers use their connections until it is gone. */
public class PlannedStopTest {
    private static final String KEY = "key";
    private static final int CALLERS = 16;
    private static final int PIPELINING_CALLERS = 2;
    private static final long DEADLINE_MILLIS = 15_000;
    private static final int ROUTE_TIMEOUT_MILLIS = 15_000;
    private static final int MIN_ANSWERED = 200;
    private static final int EXIT_BY_SIGTERM = 143;
    // Longer than the grace period, so that some requests can be finished neither before nor within it.
    private static final int MAX_WORK_MILLIS = 9_000;
    private static final double LONG_WORK_SHARE = 0.03;
    private static final String[] ROUTES = {"/once/", "/again/", "/stream/"};

    private final AtomicInteger answered = new AtomicInteger();
    private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

    /** What one request ended in; without a response when its connection ended before a status line. */
    private record Outcome(String path, Optional<Caller.Response> response) {}

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}};
    }

    // Guards against requests that were passed on and are cut off without an answer at the end of a planned stop.
    @Test(dataProvider = "seeds")
    public void stopAnswersEveryRequestThatWasPassedOn(long seed) throws Exception {
        Path directory = Files.createDirectories(Path.of("target", "soak", "stop-" + seed));
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        outcomes.clear();
        answered.set(0);
        SoakFleet fleet = new SoakFleet(directory, ROUTE_TIMEOUT_MILLIS);
        try (fleet) {
            for (int i = 0; i < 2; i++) {
                fleet.addUpstream().process().command(Behaviour.TAKE_TIME.name());
            }
            fleet.configure(1, List.of(KEY), () -> {});
            fleet.addRouter();
            SoakFleet.Router router = fleet.routers().get(0);
            awaitService(router);
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * CALLERS + i);
                int requestsAtOnce = i < PIPELINING_CALLERS ? 2 : 1;
                threads.add(start(() -> callUntilGone(router, own, requestsAtOnce)));
            }
            while (answered.get() < MIN_ANSWERED) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            fleet.signal(router, Signal.TERM);
            threads.add(start(() -> sendBodySlowly(router, random.nextInt(4_000))));
            threads.add(start(() -> disturb(fleet, router)));
            int exitCode = fleet.endAfterGrace(router);
            for (Thread thread : threads) {
                thread.join();
            }
            assertEquals(exitCode, EXIT_BY_SIGTERM, "the process has to end by itself within the grace period");
        }
        Map<String, Integer> runs = fleet.runs();
        List<String> violations = new ArrayList<>();
        outcomes.forEach(outcome -> check(outcome, runs.getOrDefault(outcome.path(), 0), violations));
        System.out.println("planned stop seed=" + seed + " requests=" + outcomes.size() + " runs=" + runs.size());
        assertTrue(violations.isEmpty(), "logs in " + directory + ":\n" + String.join("\n", violations));
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "caller");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // A reload of the settings and a second SIGTERM come while the router stops.
    private static void disturb(SoakFleet fleet, SoakFleet.Router router) {
        try {
            TimeUnit.MILLISECONDS.sleep(500);
            fleet.changeSettings(router);
            fleet.signal(router, Signal.HUP);
            TimeUnit.MILLISECONDS.sleep(500);
            fleet.signal(router, Signal.TERM);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void callUntilGone(SoakFleet.Router router, UniformRandomProvider random, int requestsAtOnce) {
        while (true) {
            try (Caller caller = new Caller(router.callers())) {
                boolean isOpen = true;
                while (isOpen) {
                    isOpen = call(caller, random, requestsAtOnce);
                }
            } catch (IOException e) {
                // No connection is accepted any more: the process is gone.
                return;
            }
        }
    }

    // Returns whether the connection may be used again.
    private boolean call(Caller caller, UniformRandomProvider random, int requestsAtOnce) {
        List<String> unread = new ArrayList<>();
        try {
            for (int i = 0; i < requestsAtOnce; i++) {
                String route = ROUTES[random.nextInt(ROUTES.length)];
                int millis = random.nextDouble() < LONG_WORK_SHARE
                        ? random.nextInt(MAX_WORK_MILLIS)
                        : 5 + random.nextInt(40);
                unread.add(route + 't' + millis + '-' + Long.toHexString(random.nextLong()));
                String method = route.equals(ROUTES[0]) ? "POST" : "GET";
                caller.write(method, unread.get(i), KEY, DEADLINE_MILLIS, "");
            }
            while (!unread.isEmpty()) {
                Caller.Response response = caller.read();
                outcomes.add(new Outcome(unread.remove(0), Optional.of(response)));
                answered.incrementAndGet();
                if (!response.complete() || "close".equals(response.headers().get("connection"))) {
                    // Requests behind this one were not read by the router, or at least not passed on.
                    unread.forEach(path -> outcomes.add(new Outcome(path, Optional.empty())));
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            // Checked at the end: only a request that did not run may go without a response.
            unread.forEach(path -> outcomes.add(new Outcome(path, Optional.empty())));
            return false;
        }
    }

    private void sendBodySlowly(SoakFleet.Router router, int pauseMillis) {
        String path = "/once/t10-slow-body";
        Optional<Caller.Response> response = Optional.empty();
        try (Caller caller = new Caller(router.callers())) {
            caller.writeHead(path, KEY, DEADLINE_MILLIS, 10);
            caller.writeBytes("01234");
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            caller.writeBytes("56789");
            response = Optional.of(caller.read());
        } catch (IOException e) {
            response = Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        outcomes.add(new Outcome(path, response));
    }

    private static void check(Outcome outcome, int runs, List<String> violations) {
        if (outcome.response().isEmpty()) {
            if (runs > 0) {
                violations.add(outcome.path() + " ran and has no response");
            }
            return;
        }
        Caller.Response response = outcome.response().get();
        boolean saysNotRun = response.status() == 503 || response.status() == 429 || response.status() == 408;
        if (saysNotRun && runs > 0) {
            violations.add(outcome.path() + " has status " + response.status() + ", but ran");
        }
        if (saysNotRun && !response.headers().containsKey("retry-after")) {
            violations.add(outcome.path() + " was refused without a time to come back");
        }
        // A stream that has begun can only be broken off.
        if (!response.complete() && !outcome.path().startsWith("/stream/")) {
            violations.add(outcome.path() + " was cut off after its head");
        }
    }

    private static void awaitService(SoakFleet.Router router) throws Exception {
        for (int i = 0; ; i++) {
            try (Caller caller = new Caller(router.callers())) {
                if (caller.send("GET", "/again/t0-check" + i, KEY, 1_000).status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // Not started yet.
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }
}
