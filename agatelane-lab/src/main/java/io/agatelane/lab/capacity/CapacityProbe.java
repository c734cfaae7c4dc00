package io.agatelane.lab.capacity;

/** Measures the growth figures from which docs/CAPACITY.md is calculated. */
public final class CapacityProbe {
    private CapacityProbe() {}

    /** Runs all measurements and returns their tables. */
    public static String run() {
        return "configuration" + System.lineSeparator() + ConfigGrowth.run()
                + "bookings of one partition" + System.lineSeparator() + BookingGrowth.run()
                + "routing (7 models, 22 availability zones)" + System.lineSeparator() + RoutingGrowth.run();
    }
}
