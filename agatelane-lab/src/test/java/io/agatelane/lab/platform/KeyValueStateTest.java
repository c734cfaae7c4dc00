package io.agatelane.lab.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.agatelane.lab.platform.KeyValueState.Compare;
import io.agatelane.lab.platform.KeyValueState.LeaseNotFoundException;
import io.agatelane.lab.platform.KeyValueState.Watch;
import io.agatelane.lab.platform.KeyValueState.Write;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

public final class KeyValueStateTest {
    private final AtomicLong clockMillis = new AtomicLong(1_000);

    /** Guards against two compare-and-swap writes from the same revision that both succeed. */
    @Test
    public void onlyOneOfTwoSwapsFromTheSameRevisionWins() {
        KeyValueState state = newState(10);
        assertTrue(swap(state, 0, "a"));
        long revision = state.range("k", "").get(0).modRevision();
        assertTrue(swap(state, revision, "b"));
        assertFalse(swap(state, revision, "c"));
        assertFalse(swap(state, 0, "d"));
        assertEquals(text(state.range("k", "").get(0)), "b");
    }

    /** Guards against keys that outlive their lease, and against a renewal that revives an ended lease. */
    @Test
    public void leaseEndDeletesItsKeysOnly() {
        KeyValueState state = newState(10);
        long lease = state.grantLease(0, 2);
        put(state, "leased", lease);
        put(state, "plain", 0);
        clockMillis.addAndGet(1_500);
        assertEquals(state.renewLease(lease), 2);
        clockMillis.addAndGet(1_999);
        state.expireLeases();
        assertEquals(state.range("leased", "").size(), 1);
        clockMillis.addAndGet(1);
        state.expireLeases();
        assertEquals(state.range("leased", "").size(), 0);
        assertEquals(state.range("plain", "").size(), 1);
        assertEquals(state.renewLease(lease), 0);
        assertThrows(LeaseNotFoundException.class, () -> put(state, "late", lease));
    }

    /** Guards against a watch that loses the writes between its start revision and the time at which it is opened. */
    @Test
    public void watchReplaysFromItsStartRevisionInOrder() {
        KeyValueState state = newState(10);
        put(state, "a", 0);
        long start = state.revision() + 1;
        put(state, "a", 0);
        put(state, "other", 0);
        List<Long> seen = new ArrayList<>();
        Watch watch = new Watch("a", "", value -> seen.add(value.modRevision()));
        assertEquals(state.watch(watch, start), 0);
        put(state, "a", 0);
        state.unwatch(watch);
        put(state, "a", 0);
        assertEquals(seen, List.of(start, start + 2));
    }

    /** Guards against an unreported gap when the history no longer reaches back to the start revision. */
    @Test
    public void watchBeforeTheHistoryReportsTheFirstRetainedRevision() {
        KeyValueState state = newState(2);
        for (int i = 0; i < 5; i++) {
            put(state, "a", 0);
        }
        Watch watch = new Watch("a", "", value -> {});
        assertEquals(state.watch(watch, 2), 5);
        assertEquals(state.watch(watch, 5), 0);
    }

    /** Guards against wrong range ends: the prefix end is exclusive, and a zero byte means all later keys. */
    @Test
    public void rangeEndsAreThoseOfEtcd() {
        KeyValueState state = newState(10);
        for (String key : List.of("a/1", "a/2", "b/1")) {
            put(state, key, 0);
        }
        assertEquals(state.range("a/", "a0").size(), 2);
        assertEquals(state.range("a/2", "\0").size(), 2);
        assertEquals(state.range("b", "a").size(), 0);
        state.txn(List.of(), List.of(Write.delete("a/", "a0")), List.of());
        assertEquals(state.all().size(), 1);
    }

    /** Guards against a restore that keeps the newer revision and so hides that the state is older. */
    @Test
    public void restoreBringsBackTheOldRevision() {
        KeyValueState state = newState(10);
        put(state, "a", 0);
        List<StoredValue> backup = state.all();
        long revision = state.revision();
        put(state, "a", 0);
        put(state, "b", 0);
        state.restore(backup, revision);
        assertEquals(state.revision(), revision);
        assertEquals(state.all(), backup);
    }

    private KeyValueState newState(int historyLimit) {
        return new KeyValueState(clockMillis::get, historyLimit);
    }

    private static boolean swap(KeyValueState state, long expected, String value) {
        Write write = Write.put("k", value.getBytes(StandardCharsets.UTF_8), 0);
        return state.txn(List.of(new Compare("k", expected)), List.of(write), List.of())
                .succeeded();
    }

    private static void put(KeyValueState state, String key, long lease) {
        state.txn(List.of(), List.of(Write.put(key, new byte[] {1}, lease)), List.of());
    }

    private static String text(StoredValue value) {
        return new String(value.value(), StandardCharsets.UTF_8);
    }
}
