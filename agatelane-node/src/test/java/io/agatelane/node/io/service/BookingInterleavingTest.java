package io.agatelane.node.io.service;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Runs random interleavings of retries and faults. The system property {@code booking.seeds} sets their number. */
public class BookingInterleavingTest {
    private static final long FIRST_SEED = 20_260_101;
    private static final int SEEDS = Integer.getInteger("booking.seeds", 150);

    // The log lines of thousands of booking decisions would hide the result.
    private final Logger logger = Logger.getLogger("io.agatelane.node.io.service");

    @BeforeClass
    public void suppressInfoLogs() {
        logger.setLevel(Level.WARNING);
    }

    @AfterClass(alwaysRun = true)
    public void restoreLogLevel() {
        logger.setLevel(null);
    }

    /** Guards against a booking that runs twice, a false "not run", and a response that differs or is lost. */
    @Test
    public void guaranteesHoldUnderFaults() {
        List<String> violations = new ArrayList<>();
        Map<String, Integer> replies = new TreeMap<>();
        for (int i = 0; i < SEEDS; i++) {
            long seed = FIRST_SEED + i;
            BookingScenario scenario = new BookingScenario(seed);
            scenario.run().forEach(text -> violations.add("seed " + seed + ": " + text));
            scenario.replies.forEach((reply, count) -> replies.merge(reply, count, Integer::sum));
        }
        System.out.println("booking interleavings: seeds " + FIRST_SEED + " to " + (FIRST_SEED + SEEDS - 1) + ", "
                + violations.size() + " violations, replies " + replies);
        assertTrue(violations.isEmpty(), String.join("\n", violations));
    }

    /** Guards against a check that cannot fail: it must detect the second runs of a proxy without claims. */
    @Test
    public void naiveProxyIsDetected() {
        int detected = 0;
        for (int i = 0; i < SEEDS; i++) {
            boolean ranTwice = new BookingScenario(FIRST_SEED + i, new NaiveProxy())
                    .run().stream().anyMatch(text -> text.startsWith("ran "));
            detected += ranTwice ? 1 : 0;
        }
        System.out.println("naive proxy: a booking ran twice with " + detected + " of " + SEEDS + " seeds");
        assertTrue(detected > SEEDS / 2, "seeds with a second run: " + detected);
    }
}
