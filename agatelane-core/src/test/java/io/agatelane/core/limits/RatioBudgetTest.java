package io.agatelane.core.limits;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class RatioBudgetTest {
    // Guards against extra attempts that multiply the load, for example while every request fails.
    @Test
    public void extraAttemptsStayWithinThePercentage() {
        RatioBudget budget = new RatioBudget();
        int extra = 0;
        for (int i = 0; i < 10_000; i++) {
            budget.recordRequest(5);
            extra += budget.tryTake() ? 1 : 0;
        }
        assertTrue(extra >= 499 && extra <= 501, "extra attempts: " + extra);
    }
}
