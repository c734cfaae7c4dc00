package io.agatelane.node.io.service;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.core.booking.AttemptId;
import io.agatelane.core.booking.Booking;
import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.BookingState;
import io.agatelane.core.booking.SealedRef;
import io.agatelane.core.booking.Segment;
import io.agatelane.core.booking.ServiceResponse;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.wire.store.BookingEntry;
import io.agatelane.wire.store.BookingSegment;
import io.agatelane.wire.store.SealedSegment;
import io.agatelane.wire.store.StoredAnswer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/** Encodes the store keys and values of bookings, and the messages about bookings between routers. */
final class BookingCodec {
    private static final HexFormat HEX = HexFormat.of();

    private BookingCodec() {}

    static String openKey(int partition) {
        return "bookings/" + partition + "/open";
    }

    static String sealedKey(int partition, String name) {
        return "bookings/" + partition + "/sealed/" + name;
    }

    /**
     * Returns the key of a long response, which is stored outside its segment. The key contains a digest of the booking
     * and the attempt, since an attempt has at most one response.
     */
    static String responseKey(BookingKey key, AttemptId attempt) {
        String text =
                key.canonical() + "\n" + attempt.vmName() + "\n" + attempt.vmIncarnation() + "\n" + attempt.number();
        return "bookings/" + key.partition() + "/answers/" + Digests.sha256Hex(text);
    }

    static io.agatelane.wire.store.BookingKey toWire(BookingKey key) {
        return io.agatelane.wire.store.BookingKey.newBuilder()
                .setClientAccount(key.clientAccount())
                .setService(key.service())
                .setIdempotencyKey(key.idempotencyKey())
                .build();
    }

    static BookingKey fromWire(io.agatelane.wire.store.BookingKey key) {
        return new BookingKey(key.getClientAccount(), key.getService(), key.getIdempotencyKey());
    }

    static io.agatelane.wire.store.AttemptId toWire(AttemptId attempt) {
        return io.agatelane.wire.store.AttemptId.newBuilder()
                .setVmName(attempt.vmName())
                .setVmIncarnation(attempt.vmIncarnation())
                .setNumber(attempt.number())
                .build();
    }

    static AttemptId fromWire(io.agatelane.wire.store.AttemptId attempt) {
        return new AttemptId(attempt.getVmName(), attempt.getVmIncarnation(), attempt.getNumber());
    }

    static StoredAnswer toWire(ServiceResponse response) {
        return StoredAnswer.newBuilder()
                .setStatus(response.status())
                .setContentType(response.contentType())
                .setBody(ByteString.copyFrom(response.body()))
                .build();
    }

    static ServiceResponse fromWire(StoredAnswer response) {
        return new ServiceResponse(
                response.getStatus(),
                response.getContentType(),
                response.getBody().toByteArray());
    }

    static ByteString digestToWire(String hex) {
        return ByteString.copyFrom(HEX.parseHex(hex));
    }

    static String digestFromWire(ByteString digest) {
        return HEX.formatHex(digest.toByteArray());
    }

    static byte[] encode(int partition, Segment segment) {
        BookingSegment.Builder builder =
                BookingSegment.newBuilder().setNumber(segment.number()).setWriter(segment.writer());
        segment.entries().forEach(booking -> builder.addEntries(toEntry(booking)));
        segment.sealed()
                .forEach(ref -> builder.addSealed(SealedSegment.newBuilder()
                        .setKey(sealedKey(partition, ref.name()))
                        .setSealedEpochMillis(ref.sealedEpochMillis())
                        .setEntryCount(ref.entryCount())));
        return builder.build().toByteArray();
    }

    static Segment decode(String key, byte[] value) {
        BookingSegment segment;
        try {
            segment = BookingSegment.parseFrom(value);
        } catch (InvalidProtocolBufferException e) {
            throw corruptValue(key, e);
        }
        List<Booking> entries = new ArrayList<>(segment.getEntriesCount());
        segment.getEntriesList().forEach(entry -> entries.add(toBooking(entry)));
        List<SealedRef> refs = segment.getSealedList().stream()
                .map(ref -> new SealedRef(
                        ref.getKey().substring(ref.getKey().lastIndexOf('/') + 1),
                        ref.getSealedEpochMillis(),
                        ref.getEntryCount()))
                .toList();
        return new Segment(segment.getNumber(), entries, refs, segment.getWriter());
    }

    static ServiceResponse decodeResponse(String key, byte[] value) {
        try {
            return fromWire(StoredAnswer.parseFrom(value));
        } catch (InvalidProtocolBufferException e) {
            throw corruptValue(key, e);
        }
    }

    private static AgatelaneException corruptValue(String key, Throwable cause) {
        return new AgatelaneException(FailureType.INTERNAL, "the stored value is malformed", cause).withLocation(key);
    }

    private static BookingEntry toEntry(Booking booking) {
        BookingEntry.Builder builder = BookingEntry.newBuilder()
                .setKey(toWire(booking.key()))
                .setAttempt(toWire(booking.attempt()))
                .setRequestDigest(digestToWire(booking.requestDigest()))
                .setState(state(booking.state()))
                .setClaimedEpochMillis(booking.claimedEpochMillis());
        booking.response().ifPresent(response -> builder.setAnswer(toWire(response)));
        return builder.build();
    }

    private static Booking toBooking(BookingEntry entry) {
        Optional<ServiceResponse> response =
                entry.hasAnswer() ? Optional.of(fromWire(entry.getAnswer())) : Optional.empty();
        return new Booking(
                fromWire(entry.getKey()),
                fromWire(entry.getAttempt()),
                digestFromWire(entry.getRequestDigest()),
                state(entry.getState()),
                response,
                entry.getClaimedEpochMillis());
    }

    private static BookingEntry.State state(BookingState state) {
        return switch (state) {
            case CLAIMED -> BookingEntry.State.CLAIMED;
            case FINISHED -> BookingEntry.State.FINISHED;
            case OUTCOME_UNKNOWN -> BookingEntry.State.OUTCOME_UNKNOWN;
        };
    }

    // A state that this version of the program does not know counts as an unknown outcome, so that the call never runs
    // again.
    private static BookingState state(BookingEntry.State state) {
        return switch (state) {
            case CLAIMED -> BookingState.CLAIMED;
            case FINISHED -> BookingState.FINISHED;
            default -> BookingState.OUTCOME_UNKNOWN;
        };
    }
}
