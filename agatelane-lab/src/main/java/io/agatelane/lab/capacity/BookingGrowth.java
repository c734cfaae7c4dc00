package io.agatelane.lab.capacity;

import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.BookingLimits;
import io.agatelane.core.booking.LoadedPartition;
import io.agatelane.core.booking.SealedRef;
import io.agatelane.core.booking.Segment;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.booking.command.EventTime;
import io.agatelane.core.booking.command.PartitionMachine;
import io.agatelane.lab.experiment.Table;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Measures memory and processing time of one partition by the number of finished bookings that it holds. */
final class BookingGrowth {
    private static final int[] BOOKING_COUNTS = {1_000, 4_000, 16_000};
    private static final int BOOKINGS_PER_SEGMENT = 200;
    private static final int RETRIES = 20_000;
    private static final EventTime NOW = new EventTime(1_000, 1_700_000_000_000L);
    private static final AttemptId RETRY = new AttemptId("router-2", 1, 1);

    private BookingGrowth() {}

    static String run() {
        Table table = new Table("finished bookings", "heap, bytes", "heap per booking, bytes", "retry, us");
        for (int bookings : BOOKING_COUNTS) {
            Heap.Measured<PartitionMachine> partition = Heap.measure(() -> load(bookings));
            double retryMicros = Timing.micros(
                    RETRIES, i -> partition.value().claim(NOW, i, key(i % bookings), RETRY, digest(i % bookings)));
            table.row(bookings, partition.bytes(), (double) partition.bytes() / bookings, retryMicros);
        }
        return table.toString();
    }

    private static PartitionMachine load(int bookings) {
        Map<String, Segment> sealed = new HashMap<>();
        List<SealedRef> references = new ArrayList<>();
        for (int first = 0; first < bookings; first += BOOKINGS_PER_SEGMENT) {
            List<Booking> entries = new ArrayList<>();
            for (int i = first; i < Math.min(bookings, first + BOOKINGS_PER_SEGMENT); i++) {
                entries.add(finished(i));
            }
            String name = first + "-1";
            sealed.put(name, new Segment(first, entries, List.of(), "writer"));
            references.add(new SealedRef(name, NOW.epochMillis(), entries.size()));
        }
        PartitionMachine machine = new PartitionMachine(BookingLimits.DEFAULT, "router-1");
        machine.ownershipGained(NOW);
        machine.loaded(NOW, new LoadedPartition(1, new Segment(bookings, List.of(), references, "writer"), sealed));
        return machine;
    }

    private static Booking finished(int index) {
        byte[] body =
                ("{\"status\":\"recorded\",\"serial\":\"permits-" + index + "\"}").getBytes(StandardCharsets.UTF_8);
        return Booking.claimed(key(index), new AttemptId("router-1", 1, index), digest(index), NOW.epochMillis())
                .withFinished(Optional.of(new ServiceResponse(200, "application/json", body)));
    }

    private static BookingKey key(int index) {
        return new BookingKey("account-1", "permits", "renewal-" + index);
    }

    private static String digest(int index) {
        return String.format("%064x", index);
    }
}
