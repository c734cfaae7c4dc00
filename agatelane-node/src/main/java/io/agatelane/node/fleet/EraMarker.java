package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.ClockReading;
import io.agatelane.node.api.ConditionalStore;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * The newest era of the store in which a router has proven the configuration, kept in the store itself.
 *
 * <p>An older copy cannot hold the number of the era that begins with it. A router that starts and finds an earlier one, or
 * none, may therefore read a copy that still lacks what the operator wrote since.
 */
final class EraMarker extends SharedEntry<Long> {
    /** Key of the entry in the store. */
    static final String KEY = "agatelane/era";

    private static final EventLog LOG = EventLog.of(EraMarker.class);
    private static final long NO_ERA = 0;

    private final StorePoller poller;

    EraMarker(
            ConditionalStore store,
            StorePoller poller,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            IntSupplier routerCount) {
        super(KEY, store, poller, timers, control, random, routerCount);
        this.poller = poller;
    }

    /** Whether the entries of a read show that the configuration was proven in its era; true for a store without eras. */
    static boolean isProven(long era, List<KeyValue> routerEntries) {
        return era == NO_ERA
                || routerEntries.stream().anyMatch(item -> item.key().equals(KEY) && parse(item.value()) >= era);
    }

    // Returns 0 for bytes that are no era.
    private static long parse(byte[] value) {
        try {
            return Long.parseLong(new String(value, StandardCharsets.US_ASCII));
        } catch (NumberFormatException e) {
            return NO_ERA;
        }
    }

    @Override
    Long none() {
        return NO_ERA;
    }

    @Override
    Long decode(byte[] value) {
        long era = parse(value);
        if (era == NO_ERA) {
            throw new AgatelaneException(FailureType.INVALID_OBJECT, "the entry holds no era").withLocation(KEY);
        }
        return era;
    }

    @Override
    byte[] encode(Long era) {
        return Long.toString(era).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    void onRead(Long era, ClockReading now) {
        // The poller looks at the entry with each read.
    }

    @Override
    Long wanted(Long known, ClockReading now) {
        return poller.isConfigProven() ? Math.max(known, poller.era()) : known;
    }

    @Override
    boolean isSame(Long first, Long second) {
        return first.equals(second);
    }

    @Override
    void onWritten(Long era) {
        LOG.event("store_era_marked").with("era", era).info();
    }
}
