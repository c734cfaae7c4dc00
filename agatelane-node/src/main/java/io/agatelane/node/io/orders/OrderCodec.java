package io.agatelane.node.io.orders;

import com.google.protobuf.InvalidProtocolBufferException;
import io.agatelane.core.orders.DesiredState;
import io.agatelane.core.orders.OrderRecord;
import io.agatelane.node.api.KeyValue;
import io.agatelane.node.util.EventLog;
import io.agatelane.wire.store.EngineOrder;
import java.util.Optional;

/** Encodes and decodes the values of the store keys under {@code orders/}. */
final class OrderCodec {
    private static final EventLog LOG = EventLog.of(OrderCodec.class);

    private OrderCodec() {}

    static byte[] encode(OrderRecord record) {
        return EngineOrder.newBuilder()
                .setUpstream(record.upstream())
                .setModel(record.desired().model())
                .setWeightsVersion(record.desired().weightsVersion())
                .setAdapter(record.desired().adapter())
                .setRole(record.desired().role())
                .setFencingNumber(record.fencingNumber())
                .setHolderVm(record.holderVm())
                .setHolderIncarnation(record.holderIncarnation())
                .setDone(record.done())
                .setConfigRevision(record.configRevision())
                .build()
                .toByteArray();
    }

    /** Encodes the value of a key that only names its holder; the number distinguishes keys of the same holder. */
    static byte[] encodeHolder(String upstream, String vmName, long incarnation, long number) {
        return EngineOrder.newBuilder()
                .setUpstream(upstream)
                .setHolderVm(vmName)
                .setHolderIncarnation(incarnation)
                .setFencingNumber(number)
                .build()
                .toByteArray();
    }

    /** Decodes the record of an order; empty when malformed, so that it is overwritten. */
    static Optional<OrderRecord> decode(KeyValue value) {
        return parse(value)
                .map(order -> new OrderRecord(
                        order.getUpstream(),
                        new DesiredState(
                                order.getModel(), order.getWeightsVersion(), order.getAdapter(), order.getRole()),
                        order.getConfigRevision(),
                        order.getFencingNumber(),
                        order.getHolderVm(),
                        order.getHolderIncarnation(),
                        order.getDone()));
    }

    /** Parses a value; logs a malformed one and returns empty. */
    static Optional<EngineOrder> parse(KeyValue value) {
        try {
            return Optional.of(EngineOrder.parseFrom(value.value()));
        } catch (InvalidProtocolBufferException e) {
            LOG.event("order_key_malformed")
                    .with("key", value.key())
                    .with("detail", e.getMessage())
                    .warning();
            return Optional.empty();
        }
    }
}
