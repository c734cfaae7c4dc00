package io.agatelane.node.io.service;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.node.api.MemberState;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import io.agatelane.node.fakes.FakeMembership;
import io.agatelane.node.fakes.FakePeerNetwork;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Counts platform calls per booking and per retry, and compares them with a store key per booking. */
public class PlatformCallsTest {
    private static final int ROUTERS = 3;
    private static final int BOOKINGS = 4_000;
    private static final int RETRIES = 3;
    private static final long SEED = 11;

    private final Logger logger = Logger.getLogger("io.agatelane.node.io.service");

    @BeforeClass
    public void suppressInfoLogs() {
        logger.setLevel(Level.WARNING);
    }

    @AfterClass(alwaysRun = true)
    public void restoreLogLevel() {
        logger.setLevel(null);
    }

    /** Guards against a platform call for each booking or retry, which would exceed the platform's rate limit. */
    @Test
    public void groupCommitNeedsFewerCallsThanOneKeyPerBooking() {
        for (int perSecond : new int[] {20, 200, 2_000}) {
            Counts grouped = countGrouped(perSecond);
            Counts naive = countNaive(perSecond);
            System.out.println(String.format(
                    Locale.ROOT,
                    "platform calls at %d bookings/s: %.3f per booking and %.3f per retry with group commit, %.3f and "
                            + "%.3f with a key per booking",
                    perSecond,
                    grouped.perBooking(),
                    grouped.perRetry(),
                    naive.perBooking(),
                    naive.perRetry()));
            assertEquals(grouped.retryCalls, 0, "retries are served from memory");
            assertTrue(grouped.bookingCalls < naive.bookingCalls, "calls per booking");
        }
    }

    private static Counts countGrouped(int perSecond) {
        Fixture fixture = new Fixture();
        FakePeerNetwork network = new FakePeerNetwork(fixture.control);
        List<BookingRouter> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            FakeMembership membership = new FakeMembership("vm-" + i);
            for (int j = 0; j < ROUTERS; j++) {
                membership.put("vm-" + j, MemberState.ALIVE, 1);
            }
            routers.add(new BookingRouter(
                    "vm-" + i, 1, fixture.control, network, fixture.store, fixture.permits, membership));
        }
        fixture.control.advance(1_000);
        int[] next = new int[1];
        return count(
                fixture, perSecond, request -> routers.get(next[0]++ % ROUTERS).call(request));
    }

    private static Counts countNaive(int perSecond) {
        Fixture fixture = new Fixture();
        NaiveKeyPerBooking naive = new NaiveKeyPerBooking(fixture.store, fixture.permits);
        return count(fixture, perSecond, naive::call);
    }

    private static Counts count(
            Fixture fixture, int perSecond, Function<ServiceRequest, CompletableFuture<ServiceResponse>> calls) {
        int before = fixture.calls();
        int afterBookings = send(fixture, perSecond, BOOKINGS, 1, calls) - before;
        int afterRetries = send(fixture, perSecond, BOOKINGS, RETRIES, calls) - before;
        assertEquals(fixture.permits.runs.size(), BOOKINGS);
        return new Counts(afterBookings, afterRetries - afterBookings);
    }

    private static int send(
            Fixture fixture,
            int perSecond,
            int bookings,
            int times,
            Function<ServiceRequest, CompletableFuture<ServiceResponse>> calls) {
        List<CompletableFuture<ServiceResponse>> responses = new ArrayList<>();
        for (int time = 0; time < times; time++) {
            for (int i = 0; i < bookings; i++) {
                String key = "key-" + i;
                String requestId = "r" + responses.size();
                fixture.control.after(
                        1_000L * responses.size() / perSecond,
                        () -> responses.set(
                                Integer.parseInt(requestId.substring(1)),
                                calls.apply(BookingRouter.request(requestId, key))));
                responses.add(null);
            }
        }
        fixture.control.advance(1_000L * responses.size() / perSecond + 10_000);
        responses.forEach(response -> assertEquals(response.join().status(), 201));
        return fixture.calls();
    }

    private record Counts(int bookingCalls, int retryCalls) {
        private double perBooking() {
            return (double) bookingCalls / BOOKINGS;
        }

        private double perRetry() {
            return (double) retryCalls / (BOOKINGS * RETRIES);
        }
    }

    private static final class Fixture {
        private final FakeControl control = new FakeControl();
        private final FakeKeyValueStore store = new FakeKeyValueStore(control);
        private final FakePermits permits = new FakePermits(control, RandomSource.XO_SHI_RO_256_PP.create(SEED));

        private Fixture() {
            store.setLatencyMillis(4);
        }

        private int calls() {
            return store.readCount() + store.writeCount();
        }
    }
}
