package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class ClockReadingTest {
    // Guards against a revoked API key that is accepted after a suspension, during which the monotonic clock stops.
    @Test
    public void suspensionCountsTowardsTheAge() {
        ClockReading reading = new ClockReading(1_000, 50_000);
        assertEquals(reading.ageMillis(1_200, 56_000), 6_000);
    }

    // Guards against a reading that looks more recent than it is because the wall clock was stepped back.
    @Test
    public void steppedWallClockDoesNotReduceTheAge() {
        ClockReading reading = new ClockReading(1_000, 50_000);
        assertEquals(reading.ageMillis(5_000, 48_000), 4_000);
    }
}
