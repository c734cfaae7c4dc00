package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class ConfigProofTest {
    // Guards against a revoked key that is accepted after a suspension, in which the monotonic clock stands still.
    @Test
    public void suspensionMakesAProofOld() {
        ConfigProof proof = new ConfigProof(1_000, 50_000);
        assertEquals(proof.ageMillis(1_200, 56_000), 6_000);
    }

    // Guards against a proof that looks young because the wall clock was stepped back.
    @Test
    public void steppedClockDoesNotMakeAProofYoung() {
        ConfigProof proof = new ConfigProof(1_000, 50_000);
        assertEquals(proof.ageMillis(5_000, 48_000), 4_000);
    }
}
