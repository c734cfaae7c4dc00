package io.agatelane.core.booking;

import io.agatelane.core.hash.Rendezvous;

/** Identifies a booking. A caller's Idempotency-Key is unique per client account and service. */
public record BookingKey(String clientAccount, String service, String idempotencyKey) {
    /** Number of partitions. It must never change, because stored keys depend on it. */
    public static final int PARTITIONS = 64;

    /** Returns the partition of this key, 0 to {@value #PARTITIONS} - 1. */
    public int partition() {
        return (int) Long.remainderUnsigned(Rendezvous.hash(canonical()), PARTITIONS);
    }

    /** Returns a text that is different for different keys, whatever characters their parts contain. */
    public String canonical() {
        return clientAccount.length() + ":" + clientAccount + service.length() + ":" + service + idempotencyKey;
    }
}
