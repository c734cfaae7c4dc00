package io.agatelane.node.io.service;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.LoadedPartition;
import io.agatelane.core.booking.SealedRef;
import io.agatelane.core.booking.Segment;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.booking.command.Effect;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.fakes.FakeControl;
import io.agatelane.node.fakes.FakeKeyValueStore;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how bookings are stored on the platform. */
public class PartitionStoreTest {
    private static final BookingKey KEY = new BookingKey("aargau", "permits", "key-1");
    private static final AttemptId ATTEMPT = new AttemptId("vm-1", 5, 9);
    private static final ServiceResponse RESPONSE = new ServiceResponse(201, "text/plain", new byte[] {1, 2, 3});

    private FakeKeyValueStore platform;
    private PartitionStore store;
    private int partition;

    @BeforeMethod
    public void start() {
        platform = new FakeKeyValueStore(new FakeControl());
        store = new PartitionStore(platform);
        partition = KEY.partition();
    }

    /** Guards against entries that are read back from the platform with other contents than were written. */
    @Test
    public void segmentsAreReadAsWritten() {
        Booking inline = Booking.claimed(KEY, ATTEMPT, "ab12", 77).withFinished(Optional.of(RESPONSE));
        Segment sealed = new Segment(0, List.of(inline), List.of(), "");
        Booking claimed = Booking.claimed(new BookingKey("a", "b", "c"), ATTEMPT, "cd", 78);
        Segment open = new Segment(1, List.of(claimed), List.of(new SealedRef("0-4", 99, 1)), "writer-1");
        Effect.Swap swap = new Effect.Swap(0, open, Optional.of(new Effect.SealedWrite("0-4", sealed)));
        long revision = store.swap(partition, swap).join();
        LoadedPartition loaded = store.load(partition, Set.of()).join();
        assertEquals(loaded.revision(), revision);
        assertEquals(loaded.open(), open);
        assertEquals(loaded.sealed().get("0-4"), sealed);
        assertTrue(store.load(partition, Set.of("0-4")).join().sealed().isEmpty(), "known segments are not read");
    }

    /** Guards against a commit that is lost because another owner sealed the same content first. */
    @Test
    public void sealedSegmentMayExistAlready() {
        Segment sealed = new Segment(0, List.of(), List.of(), "");
        Segment open = new Segment(1, List.of(), List.of(new SealedRef("0-4", 99, 0)), "writer-1");
        Effect.Swap swap = new Effect.Swap(0, open, Optional.of(new Effect.SealedWrite("0-4", sealed)));
        platform.compareAndSet(BookingCodec.sealedKey(partition, "0-4"), 0, new byte[0])
                .join();
        assertTrue(store.swap(partition, swap).join() > 0);
        CompletionException lost = expectThrows(
                CompletionException.class, () -> store.swap(partition, swap).join());
        assertEquals(AgatelaneException.from(lost).type(), FailureType.SWAP_LOST);
    }

    /** Guards against long responses that are lost with a response of the store, or outlive the retention time. */
    @Test
    public void longResponsesAreDeletedWithTheirSegment() {
        platform.loseResponses(1);
        store.storeResponse(KEY, ATTEMPT, RESPONSE).join();
        assertEquals(store.loadResponse(KEY, ATTEMPT).join(), Optional.of(RESPONSE));
        Booking storedSeparately = Booking.claimed(KEY, ATTEMPT, "ab12", 77).withFinished(Optional.empty());
        Segment sealed = new Segment(0, List.of(storedSeparately), List.of(), "");
        Segment open = new Segment(1, List.of(), List.of(new SealedRef("0-4", 99, 1)), "writer-1");
        store.swap(partition, new Effect.Swap(0, open, Optional.of(new Effect.SealedWrite("0-4", sealed))))
                .join();
        store.deleteSealed(partition, "0-4");
        assertEquals(store.loadResponse(KEY, ATTEMPT).join(), Optional.empty());
        assertEquals(platform.list("bookings/").join().size(), 1, "only the open segment is left");
    }
}
