package io.agatelane.node.cfg;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiConsumer;

/** Reads the settings file of a fleet router: JSON with comments and trailing commas. */
public final class FleetSettingsReader {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_SECONDS = 600;
    private static final int MAX_MILLIS = 600_000;
    // A change has to be in force within two seconds; poll interval and timeout together stay well below that.
    private static final int DEFAULT_POLL_MILLIS = 700;
    private static final int DEFAULT_STORE_TIMEOUT_MILLIS = 900;
    // Subtracted from the time for which a revoked key may still be used, to allow for clock drift and scheduling
    // delays.
    private static final double REVOCATION_MARGIN_SECONDS = 0.5;
    private static final double DEFAULT_REVOCATION_SECONDS = 5;
    private static final double DEFAULT_GRACE_SECONDS = 8;
    private static final double DEFAULT_LEASE_SECONDS = 3;
    // The shortest limit among the existing deployments.
    private static final double DEFAULT_WEIGHTS_SECONDS = 12;
    // The share of retries that deployments usually allow.
    private static final double DEFAULT_RETRY_RATIO = 0.2;
    private static final int DEFAULT_RETRY_SLACK = 50;
    private static final int MAX_RETRY_SLACK = 100_000;
    private static final double DEFAULT_RETRY_WINDOW_SECONDS = 10;
    // A round trip between the zones of the existing deployments takes 6 to 11 ms. The rest is the price of the
    // transferred bytes: in the Aargau deployment, a request of 17 KB costs about as much as an eighth of a second of
    // prefill.
    private static final double DEFAULT_CROSS_ZONE_MILLIS = 30;
    // The slower kind of engine prefills 112 prompt tokens per millisecond in chunks of 1,024, with a step of 3.4 ms
    // between chunks, which gives about 80; attention over a long prompt costs another eighth.
    private static final double DEFAULT_PREFILL_TOKENS_PER_MILLI = 70;
    private static final double MAX_PREFILL_TOKENS_PER_MILLI = 100_000;
    private static final double DEFAULT_LIMIT_WINDOW_SECONDS = 10;
    private static final double MAX_LIMIT_SLACK = 1e12;
    private static final int DEFAULT_RESPONSE_HEAD_BYTES = 32 << 10;
    private static final int MIN_RESPONSE_HEAD_BYTES = 1 << 10;
    private static final int MAX_RESPONSE_HEAD_BYTES = 1 << 20;
    // Several hundred times the size of a long generated text.
    private static final long DEFAULT_RESPONSE_BODY_BYTES = 64L << 20;
    private static final long MAX_RESPONSE_BODY_BYTES = 1L << 40;
    private static final long MIN_HELD_BYTES = 1 << 20;
    private static final long MAX_HELD_BYTES = 1L << 40;

    private FleetSettingsReader() {}

    /**
     * Reads a file.
     *
     * @throws SettingsException with all faults of the file
     */
    public static FleetSettings read(Path file) {
        return SettingsReader.read(file, FleetSettingsReader::settings);
    }

    private static FleetSettings settings(JsonNode root, BiConsumer<String, String> faults) {
        SettingsSection top = new SettingsSection(root, "", faults);
        SettingsSection vm = top.section("vm");
        SettingsSection listen = top.section("listen");
        SettingsSection store = top.section("store");
        SettingsSection bounds = top.section("bounds");
        SettingsSection routing = top.section("routing");
        SettingsSection responses = top.section("responses");
        SettingsSection memory = top.section("memory");
        InetSocketAddress storeAddress = store.address("address");
        FleetSettings settings = new FleetSettings(
                vm.name("name"),
                vm.name("availabilityZone"),
                listen.address("callerAddress"),
                listen.address("readinessAddress"),
                listen.address("metricsAddress"),
                listen.address("peerAddress"),
                storeAddress == null ? "" : storeAddress.getAddress().getHostAddress() + ':' + storeAddress.getPort(),
                store.integer("timeoutMillis", DEFAULT_STORE_TIMEOUT_MILLIS, 10, MAX_MILLIS),
                store.integer("pollMillis", DEFAULT_POLL_MILLIS, 10, MAX_MILLIS),
                millis(bounds, "revocationSeconds", DEFAULT_REVOCATION_SECONDS, REVOCATION_MARGIN_SECONDS),
                millis(bounds, "graceSeconds", DEFAULT_GRACE_SECONDS, 0),
                millis(bounds, "leaseSeconds", DEFAULT_LEASE_SECONDS, 0),
                bounds.flag("upstreamsCheckFencing", false),
                millis(bounds, "weightsSeconds", DEFAULT_WEIGHTS_SECONDS, 0),
                bounds.decimal("retryRatio", DEFAULT_RETRY_RATIO, 0, 1),
                bounds.decimal("retrySlack", DEFAULT_RETRY_SLACK, 0, MAX_RETRY_SLACK),
                millis(bounds, "retryWindowSeconds", DEFAULT_RETRY_WINDOW_SECONDS, 0),
                millis(bounds, "limitWindowSeconds", DEFAULT_LIMIT_WINDOW_SECONDS, 0),
                bounds.decimal("limitTolerance", 0, 0, 1),
                bounds.decimal("limitSlack", 0, 0, MAX_LIMIT_SLACK),
                routing.decimal("crossZoneMillis", DEFAULT_CROSS_ZONE_MILLIS, 0, MAX_MILLIS),
                routing.decimal(
                        "prefillTokensPerMilli", DEFAULT_PREFILL_TOKENS_PER_MILLI, 1, MAX_PREFILL_TOKENS_PER_MILLI),
                responses.integer(
                        "maxHeadBytes", DEFAULT_RESPONSE_HEAD_BYTES, MIN_RESPONSE_HEAD_BYTES, MAX_RESPONSE_HEAD_BYTES),
                responses.number("maxBodyBytes", DEFAULT_RESPONSE_BODY_BYTES, 1, MAX_RESPONSE_BODY_BYTES),
                heldBytes(memory));
        List.of(top, vm, listen, store, bounds, routing, responses, memory)
                .forEach(SettingsSection::rejectUnknownFields);
        return settings;
    }

    private static HeldBytes heldBytes(SettingsSection memory) {
        HeldBytes defaults = HeldBytes.ofHeap();
        return new HeldBytes(
                memory.number("requestBytes", defaults.requestBytes(), MIN_HELD_BYTES, MAX_HELD_BYTES),
                memory.number("responseBytes", defaults.responseBytes(), MIN_HELD_BYTES, MAX_HELD_BYTES),
                memory.number("upstreamBytes", defaults.upstreamBytes(), MIN_HELD_BYTES, MAX_HELD_BYTES),
                memory.integer("unreadMillis", (int) defaults.unreadMillis(), 1, MAX_MILLIS));
    }

    private static long millis(SettingsSection section, String field, double defaultSeconds, double marginSeconds) {
        double seconds = section.decimal(field, defaultSeconds, 0, MAX_SECONDS);
        return Math.round(Math.max(0, seconds - marginSeconds) * MILLIS_PER_SECOND);
    }
}
