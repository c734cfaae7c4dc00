package io.agatelane.core.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ByteBudgetTest {
    private static final long MEGABYTE = 1 << 20;
    private static final long SEED = 20261206;

    private ByteBudget budget;

    @BeforeMethod
    public void create() {
        budget = new ByteBudget(48 * MEGABYTE);
    }

    // Guards against a heap that large bodies fill, and against bytes that are never given back.
    @Test
    public void arrivalsOfAnySizeStayWithinTheBudget() {
        Random random = new Random(SEED);
        List<ByteBudget.Reservation> held = new ArrayList<>();
        int refused = 0;
        for (int now = 0; now < 20_000; now++) {
            ByteBudget.Reservation reservation = budget.open();
            long bytes = (long) (Math.pow(random.nextDouble(), 4) * 4 * MEGABYTE);
            refused += reservation.tryResize(bytes, now) ? 0 : 1;
            held.add(reservation);
            if (held.size() > 64) {
                held.remove(random.nextInt(held.size())).release(now);
            }
            long sum = held.stream().mapToLong(ByteBudget.Reservation::bytes).sum();
            assertEquals(budget.heldBytes(), sum);
            assertTrue(sum <= budget.totalBytes());
        }
        assertTrue(refused > 0);
        held.forEach(reservation -> reservation.release(20_000));
        assertEquals(budget.heldBytes(), 0);
    }

    // Guards against small requests that are refused because a few large ones hold the whole budget.
    @Test
    public void largeBodiesLeaveRoomForSmallOnes() {
        int large = 0;
        while (budget.open().tryResize(4 * MEGABYTE, 0)) {
            large++;
        }
        assertTrue(large >= 9, "large bodies: " + large);
        for (int i = 0; i < 90; i++) {
            assertTrue(budget.open().tryResize(ByteBudget.MAX_SMALL_BYTES, 0));
        }
        assertFalse(budget.open().tryResize(ByteBudget.MAX_SMALL_BYTES + 1, 0));
    }

    // Guards against bytes that arrive after the end of their request and would be held for ever.
    @Test
    public void endedRequestHoldsNothing() {
        ByteBudget.Reservation reservation = budget.open();
        assertTrue(reservation.tryResize(2 * MEGABYTE, 0));
        assertTrue(reservation.tryResize(3 * MEGABYTE, 1));
        assertTrue(reservation.tryResize(MEGABYTE, 2));
        assertEquals(budget.heldBytes(), MEGABYTE);
        reservation.release(3);
        reservation.release(4);
        assertFalse(reservation.tryResize(MEGABYTE, 5));
        assertEquals(budget.heldBytes(), 0);
    }

    // Guards against refused callers that come back long before there is room, or all at once.
    @Test
    public void retryTimeFollowsTheTimeForWhichBytesAreHeld() {
        for (int i = 0; i < 100; i++) {
            ByteBudget.Reservation reservation = budget.open();
            assertTrue(reservation.tryResize(MEGABYTE, 10_000L * i));
            reservation.release(10_000L * i + 2_000);
        }
        assertEquals(budget.retryAfterMillis(0), 1_000, 10);
        assertEquals(budget.retryAfterMillis(1), 3_000, 10);
    }
}
