package io.agatelane.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.fleet.query.EnginePriority;
import java.util.List;
import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EnginePriorityTest {
    // Short and long prompts of a deployment in tokens, their objectives, and the speed of its engines.
    @DataProvider
    public Object[][] deployments() {
        return new Object[][] {
            {383, 500L, 17_020, 500L, 82.0},
            {383, 400L, 17_020, 300L, 103.0},
            {2_368, 500L, 11_992, 1_500L, 102.0},
            {2_368, 510L, 11_992, 1_219L, 102.0},
            {383, 505L, 17_020, 514L, 82.0},
        };
    }

    // Guards against short prompts of an account that wait behind its long ones, whatever the size of the engine's
    // pieces.
    @Test(dataProvider = "deployments")
    public void shortPromptIsAheadOfLongOnesOfTheSameAccount(
            int shortTokens, long shortObjective, int longTokens, long longObjective, double tokensPerMilli) {
        OptionalInt account = OptionalInt.of(1);
        PriorityLevels levels = PriorityLevels.of(List.of(account), List.of(0, 1, 2));
        int shortPriority = EnginePriority.of(levels, account, 0, shortTokens / tokensPerMilli, shortObjective);
        int longPriority = EnginePriority.of(levels, account, 2, longTokens / tokensPerMilli, longObjective);
        assertTrue(shortPriority < longPriority, shortPriority + " and " + longPriority);
    }

    // Guards against a rank by length that outweighs the operator's priorities.
    @Test
    public void priorityOutweighsLength() {
        PriorityLevels levels = PriorityLevels.of(List.of(), List.of(0, 1, 9));
        int longUrgent = EnginePriority.of(levels, OptionalInt.empty(), 0, 1_000, 500);
        int shortOther = EnginePriority.of(levels, OptionalInt.empty(), 1, 1, 500);
        assertTrue(longUrgent < shortOther);
        PriorityLevels many = PriorityLevels.of(List.of(), List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9));
        assertEquals(EnginePriority.of(many, OptionalInt.empty(), 9, 1_000, 0), 9);
    }

    // Guards against long urgent prompts that wait behind short ones of less urgent routes, because all accounts have
    // the same priority.
    @Test
    public void routeDecidesAmongAccountsOfTheSamePriority() {
        OptionalInt account = OptionalInt.of(1);
        PriorityLevels levels = PriorityLevels.of(List.of(account, OptionalInt.of(3)), List.of(0, 2));
        int longUrgent = EnginePriority.of(levels, account, 0, 1_000, 500);
        int shortOther = EnginePriority.of(levels, account, 2, 1, 500);
        int urgentOfOtherAccount = EnginePriority.of(levels, OptionalInt.of(3), 0, 1, 500);
        assertTrue(longUrgent < shortOther, longUrgent + " and " + shortOther);
        assertTrue(shortOther < urgentOfOtherAccount, shortOther + " and " + urgentOfOtherAccount);
    }
}
