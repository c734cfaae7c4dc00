package io.agatelane.cli.soak;

import static org.testng.Assert.assertTrue;

import io.agatelane.cli.soak.ChildProcess.Signal;
import io.agatelane.platform.Caller;
import io.agatelane.platform.UpstreamProcess;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Sends requests that end each upstream process that runs them, again and again at any router, beside sound ones. Larger
 * by hand: {@code -Dsoak.routers=16 -Dsoak.seconds=60 -Dsoak.freezes=true}.
 */
public class CrashingRequestTest {
    private static final int ROUTERS = Integer.getInteger("soak.routers", 3);
    private static final int SECONDS = Integer.getInteger("soak.seconds", 9);
    private static final boolean FREEZES = Boolean.getBoolean("soak.freezes");
    private static final int UPSTREAMS = 8;
    private static final int ZONES = 3;
    private static final int SOUND_CALLERS = 3;
    private static final String KEY = "secret";
    private static final int ALLOWED_CRASHES = 3;
    private static final int ALLOWED_RETRIES = 3;
    private static final int RETRIES_AFTER_RESTART = 12;
    private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long RESTART_MILLIS = 1_500;
    private static final long FREEZE_MILLIS = 1_200;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final long LEAVES_EARLY = 0;
    private static final long PATIENCE_MILLIS = 200;

    private final Map<String, AtomicInteger> crashes = new ConcurrentHashMap<>();
    private final Map<SoakFleet.Router, Long> disturbedNanos = new ConcurrentHashMap<>();
    private final AtomicInteger born = new AtomicInteger();
    private final AtomicInteger sound = new AtomicInteger();
    private final AtomicInteger soundServed = new AtomicInteger();
    private final List<ChildProcess> upstreams = new CopyOnWriteArrayList<>();
    private ScheduledExecutorService timers;
    private SoakFleet fleet;
    private Path directory;
    private volatile boolean stopped;

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"safe", "GET", "/again/deadly-0", DEADLINE_MILLIS},
            {"ended_by_the_deadline", "POST", "/once/deadly-400", 200L},
            {"caller_left", "GET", "/again/deadly-400", LEAVES_EARLY},
        };
    }

    // Guards against a request that is run long after its third crash, on whichever routers the crashes were seen.
    @Test(dataProvider = "requests")
    public void crashingRequestIsRefusedByAllRouters(String name, String method, String path, long deadlineMillis)
            throws Exception {
        directory = Files.createDirectories(Path.of("target", "soak", "crash-" + name));
        long seed = Long.getLong("soak.firstSeed", 1);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        crashes.clear();
        disturbedNanos.clear();
        sound.set(0);
        soundServed.set(0);
        stopped = false;
        timers = Executors.newScheduledThreadPool(SOUND_CALLERS + 4);
        try (SoakFleet started = new SoakFleet(directory)) {
            startAll(started);
            List<Future<Void>> callers = new ArrayList<>();
            for (int i = 0; i < SOUND_CALLERS; i++) {
                UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1_000 + i);
                callers.add(timers.submit(() -> callSoundly(own)));
            }
            int lateRetries = sendAgainAndAgain(method, path, deadlineMillis, random);
            stopped = true;
            for (Future<Void> caller : callers) {
                caller.get();
            }
            System.out.println("crashing request=" + name + " seed=" + seed + " routers=" + ROUTERS + " crashes="
                    + crashes(path) + " late_retries=" + lateRetries + " sound=" + sound + " served=" + soundServed);
            assertStopped(path, lateRetries);
        } finally {
            stopUpstreams();
        }
    }

    // Guards against a request that is run again after each restart of all routers.
    @Test
    public void crashingRequestStaysRefusedWhenAllRoutersAreKilled() throws Exception {
        String path = "/again/deadly-0";
        directory = Files.createDirectories(Path.of("target", "soak", "crash-restarts"));
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
        crashes.clear();
        disturbedNanos.clear();
        timers = Executors.newScheduledThreadPool(4);
        try (SoakFleet started = new SoakFleet(directory)) {
            startAll(started);
            int lateRetries = sendAgainAndAgain("GET", path, DEADLINE_MILLIS, random);
            for (int restart = 0; restart < 2; restart++) {
                for (SoakFleet.Router router : fleet.routers()) {
                    fleet.kill(router);
                }
                for (SoakFleet.Router router : fleet.routers()) {
                    fleet.start(router);
                }
                for (SoakFleet.Router router : fleet.routers()) {
                    awaitService(router);
                }
                int before = crashes(path);
                for (int i = 0; i < RETRIES_AFTER_RESTART; i++) {
                    send(fleet.routers().get(i % ROUTERS), "GET", path, DEADLINE_MILLIS);
                    TimeUnit.MILLISECONDS.sleep(300);
                }
                lateRetries += crashes(path) - before;
            }
            System.out.println(
                    "crashing request with restarts: crashes=" + crashes(path) + " late_retries=" + lateRetries);
            assertStopped(path, lateRetries);
        } finally {
            stopUpstreams();
        }
    }

    private void assertStopped(String path, int lateRetries) {
        assertTrue(crashes(path) >= ALLOWED_CRASHES, "the request crashed " + crashes(path) + " upstreams only");
        assertTrue(lateRetries <= ALLOWED_RETRIES, lateRetries + " retries reached upstreams, logs in " + directory);
    }

    private void stopUpstreams() throws Exception {
        timers.shutdownNow();
        timers.awaitTermination(10, TimeUnit.SECONDS);
        for (ChildProcess upstream : upstreams) {
            upstream.close();
        }
        upstreams.clear();
    }

    private void startAll(SoakFleet started) throws Exception {
        fleet = started;
        for (int i = 0; i < UPSTREAMS; i++) {
            startUpstream("i-" + i);
        }
        fleet.configure(1, List.of(KEY), () -> {});
        for (int i = 0; i < ROUTERS; i++) {
            fleet.addRouter("z" + i % ZONES);
        }
        for (SoakFleet.Router router : fleet.routers()) {
            awaitService(router);
        }
    }

    /** Returns the number of retries that ran later than allowed. */
    private int sendAgainAndAgain(String method, String path, long deadlineMillis, UniformRandomProvider random)
            throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
        long thirdNanos = Long.MAX_VALUE;
        int lateRetries = 0;
        while (System.nanoTime() < endNanos) {
            SoakFleet.Router router = routerInTouch(random);
            long sentNanos = System.nanoTime();
            int before = crashes(path);
            send(router, method, path, deadlineMillis);
            TimeUnit.MILLISECONDS.sleep(500);
            boolean reached = crashes(path) > before;
            if (reached && crashes(path) >= ALLOWED_CRASHES && thirdNanos == Long.MAX_VALUE) {
                thirdNanos = System.nanoTime();
            } else if (reached && thirdNanos != Long.MAX_VALUE && sentNanos > thirdNanos + CONTACT_NANOS) {
                lateRetries++;
            }
            if (FREEZES && random.nextInt(6) == 0) {
                freeze(fleet.routers().get(random.nextInt(ROUTERS)));
            }
        }
        return lateRetries;
    }

    private SoakFleet.Router routerInTouch(UniformRandomProvider random) {
        while (true) {
            SoakFleet.Router router = fleet.routers().get(random.nextInt(ROUTERS));
            Long disturbed = disturbedNanos.get(router);
            if (disturbed == null || System.nanoTime() - disturbed > CONTACT_NANOS) {
                return router;
            }
        }
    }

    private void freeze(SoakFleet.Router router) throws Exception {
        if (disturbedNanos.size() > ROUTERS / 3) {
            disturbedNanos.values().removeIf(nanos -> System.nanoTime() - nanos > CONTACT_NANOS);
            return;
        }
        disturbedNanos.put(router, Long.MAX_VALUE);
        fleet.signal(router, Signal.STOP);
        timers.schedule(
                () -> {
                    fleet.signal(router, Signal.CONT);
                    return disturbedNanos.put(router, System.nanoTime());
                },
                FREEZE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private Void callSoundly(UniformRandomProvider random) throws InterruptedException {
        while (!stopped) {
            SoakFleet.Router router = fleet.routers().get(random.nextInt(ROUTERS));
            boolean isServed = send(router, "GET", "/again/sound-" + random.nextInt(), DEADLINE_MILLIS) == 200;
            sound.incrementAndGet();
            soundServed.addAndGet(isServed ? 1 : 0);
        }
        return null;
    }

    private static int send(SoakFleet.Router router, String method, String path, long deadlineMillis)
            throws InterruptedException {
        try (Caller caller = new Caller(router.callers())) {
            if (deadlineMillis == LEAVES_EARLY) {
                caller.write(method, path, KEY, DEADLINE_MILLIS, "");
                TimeUnit.MILLISECONDS.sleep(PATIENCE_MILLIS);
                return 0;
            }
            return caller.send(method, path, KEY, deadlineMillis).status();
        } catch (IOException e) {
            // The connection ended without a response, which the checks of this test do not concern.
            return 0;
        }
    }

    private static void awaitService(SoakFleet.Router router) throws Exception {
        while (send(router, "GET", "/again/first", DEADLINE_MILLIS) != 200) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    private int crashes(String path) {
        return crashes.getOrDefault(path, new AtomicInteger()).get();
    }

    private void startUpstream(String id) throws Exception {
        ChildProcess process = new ChildProcess(
                UpstreamProcess.class, List.of(), line -> recordRun(id, line), directory.resolve(id + ".log"));
        upstreams.add(process);
        fleet.writeStore(
                "put servers/" + id + " {\"service\":\"x\",\"address\":\"" + process.awaitReady()
                        + "\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,"
                        + "\"sequence\":1,\"born\":" + born.incrementAndGet() + "}",
                () -> {});
    }

    private void recordRun(String id, String line) {
        String path = line.substring(line.indexOf(' ') + 1);
        if (path.contains("deadly")) {
            crashes.computeIfAbsent(path, unknown -> new AtomicInteger()).incrementAndGet();
            timers.schedule(
                    () -> {
                        startUpstream(id);
                        return id;
                    },
                    RESTART_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }
}
