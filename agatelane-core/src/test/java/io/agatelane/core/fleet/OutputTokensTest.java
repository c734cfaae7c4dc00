package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.command.OutputTokens;
import io.agatelane.core.fleet.command.ServiceTimes;
import java.util.OptionalInt;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OutputTokensTest {
    private static final int MAX_TOKENS = 400;
    private OutputTokens outputs;

    @BeforeMethod
    public void setUp() {
        outputs = new OutputTokens();
    }

    // Guards against a router that knows nothing of its requests after a restart.
    @Test
    public void firstRequestIsEstimated() {
        assertEquals(tokens("a", OptionalInt.empty()), 200.0);
        double hinted = tokens("a", OptionalInt.of(20));
        assertTrue(hinted >= 20 && hinted < 60, "hinted " + hinted);
        assertEquals(tokens("a", OptionalInt.of(-5)), tokens("a", OptionalInt.of(1)));
        RequestSource absurd = new RequestSource("r", "a", OptionalInt.of(1_000_000), -1);
        assertEquals(outputs.estimate(absurd), new OutputEstimate(1, 1));
    }

    // Guards against an estimate that follows callers whose hints are far off, or that ignores good hints.
    @Test
    public void hintsCountByTheirErrors() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
        OutputTokens hintsAreGood = new OutputTokens();
        OutputTokens hintsAreBad = new OutputTokens();
        for (int i = 0; i < 500; i++) {
            int varied = 5 + random.nextInt(200);
            hintsAreGood.record(source("a", OptionalInt.of(varied)), varied);
            hintsAreBad.record(source("a", OptionalInt.of(varied)), 23 + random.nextInt(4));
        }
        assertEquals(hintsAreGood.estimate(source("a", OptionalInt.of(10))).tokens(), 10, 4);
        assertEquals(hintsAreBad.estimate(source("a", OptionalInt.of(200))).tokens(), 25, 8);
    }

    // Guards against one account with many unusual requests that changes the estimate of the others.
    @Test
    public void accountsDoNotDistortEachOther() {
        for (int i = 0; i < 2_000; i++) {
            outputs.record(source("unusual", OptionalInt.empty()), 390);
            if (i % 10 == 0) {
                outputs.record(source("usual" + i / 10 % 10, OptionalInt.empty()), 20);
            }
        }
        assertEquals(tokens("usual3", OptionalInt.empty()), 20, 4);
        assertEquals(tokens("new", OptionalInt.empty()), 20, 4);
        assertEquals(tokens("unusual", OptionalInt.empty()), 390, 60);
        OutputEstimate estimate = outputs.estimate(source("new", OptionalInt.empty()));
        assertTrue(estimate.highTokens() >= estimate.tokens() && estimate.highTokens() <= MAX_TOKENS);
    }

    // Guards against calls that are expected to take as long as those of another service, and against rare slow ones.
    @Test
    public void serviceTimeIsTheMedian() {
        ServiceTimes times = new ServiceTimes(40);
        assertEquals(times.millis(), 40, 5);
        for (int i = 0; i < 100; i++) {
            times.record(i % 10 == 0 ? 3_000 : 61);
        }
        assertEquals(times.millis(), 61, 7.5);
    }

    private double tokens(String account, OptionalInt hint) {
        return outputs.estimate(source(account, hint)).tokens();
    }

    private static RequestSource source(String account, OptionalInt hint) {
        return new RequestSource("r", account, hint, MAX_TOKENS);
    }
}
