package io.agatelane.core.booking.command;

import io.agatelane.core.booking.BookingKey;
import io.agatelane.core.booking.Segment;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Claims and outcomes that one compare-and-swap of the open segment writes. */
final class Batch {
    /** Claims by booking; all claims for one booking come from the same attempt. */
    final Map<BookingKey, List<PendingClaim>> claims = new LinkedHashMap<>();

    final Map<BookingKey, PendingOutcome> outcomes = new LinkedHashMap<>();
    final List<String> expiredSealed = new ArrayList<>();
    Segment open;
    Optional<Effect.SealedWrite> sealed = Optional.empty();

    /** Returns all claims of the batch. */
    List<PendingClaim> allClaims() {
        return claims.values().stream().flatMap(List::stream).toList();
    }

    void addClaim(PendingClaim claim) {
        claims.computeIfAbsent(claim.key, unused -> new ArrayList<>()).add(claim);
    }
}
