package io.agatelane.core.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.Test;

public class KeyedByteBudgetTest {
    // Guards against an upstream that gets more bytes at once than its memory may hold, and against one that gets no
    // requests any more because bytes of ended ones are still counted.
    @Test
    public void bytesOfEachReceiverAreBounded() {
        KeyedByteBudget budget = new KeyedByteBudget(100);
        assertTrue(budget.tryTake("a", 60));
        assertTrue(budget.tryTake("a", 40));
        assertFalse(budget.tryTake("a", 1));
        assertTrue(budget.tryTake("b", 60));
        assertTrue(budget.tryTake("a", 0), "a request without a body takes no memory");
        assertEquals(budget.withFull(Set.of("c"), 50), Set.of("a", "b", "c"));
        assertEquals(budget.withFull(Set.of("c"), 30), Set.of("a", "c"));
        budget.release("a", 60);
        assertEquals(budget.largestHeldBytes(), 60);
        assertTrue(budget.tryTake("a", 60));
        budget.release("a", 60);
        budget.release("a", 40);
        budget.release("b", 60);
        assertEquals(budget.largestHeldBytes(), 0);
        assertEquals(budget.withFull(Set.of(), 100), Set.of());
    }

    // Guards against a request that is refused for ever because its body is larger than the bound.
    @Test
    public void idleReceiverTakesABodyOfAnySize() {
        KeyedByteBudget budget = new KeyedByteBudget(100);
        assertTrue(budget.tryTake("a", 500));
        assertFalse(budget.tryTake("a", 1));
    }
}
