package io.agatelane.node.cfg;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;

/** Reads settings files: JSON with comments and trailing commas. */
public final class SettingsReader {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final int MAX_MILLIS = 600_000;
    private static final int MAX_CALLS_PER_SECOND = 100_000;
    private static final int MAX_BODY_BYTES = 1 << 30;
    // A value in the platform's key-value service may have up to 1 MB; the rest is for the booking's other fields.
    private static final int MAX_RESPONSE_BYTES = 900_000;

    private SettingsReader() {}

    /**
     * Reads a file.
     *
     * @throws SettingsException with all faults of the file
     */
    public static Settings read(Path file) {
        return read(file, SettingsReader::settings);
    }

    /** Reads a file with the given layout and reports all of its faults together. */
    static <T> T read(Path file, BiFunction<JsonNode, BiConsumer<String, String>, T> layout) {
        List<SettingsFault> faults = new ArrayList<>();
        JsonNode root = parse(file, faults);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        T settings = layout.apply(
                root, (pointer, expected) -> faults.add(new SettingsFault(file.toString(), pointer, expected)));
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return settings;
    }

    private static JsonNode parse(Path file, List<SettingsFault> faults) {
        try {
            JsonNode root = MAPPER.readTree(Files.readAllBytes(file));
            if (!root.isObject()) {
                faults.add(new SettingsFault(file.toString(), "", "expected an object"));
            }
            return root;
        } catch (JsonProcessingException e) {
            String location = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            faults.add(
                    new SettingsFault(file.toString(), "", "expected JSON" + location + ": " + e.getOriginalMessage()));
        } catch (NoSuchFileException e) {
            faults.add(new SettingsFault(file.toString(), "", "expected a file, found none"));
        } catch (IOException e) {
            faults.add(new SettingsFault(file.toString(), "", "expected a readable file: " + e));
        }
        return null;
    }

    private static Settings settings(JsonNode root, BiConsumer<String, String> faults) {
        SettingsSection top = new SettingsSection(root, "", faults);
        SettingsSection vm = top.section("vm");
        SettingsSection listen = top.section("listen");
        SettingsSection platform = top.section("platform");
        SettingsSection limits = top.section("limits");
        SettingsSection shutdown = top.section("shutdown");
        String name = vm.name("name");
        String zone = vm.name("availabilityZone");
        String region = vm.name("region");
        InetSocketAddress httpAddress = listen.address("httpAddress");
        InetSocketAddress rpcAddress = listen.address("rpcAddress");
        InetSocketAddress peerAddress = listen.address("peerAddress");
        rejectDuplicates(listen, httpAddress, rpcAddress, peerAddress);
        Settings settings = new Settings(
                name,
                zone,
                region,
                httpAddress,
                rpcAddress,
                peerAddress,
                platform.url("url"),
                platform.integer("timeoutMillis", 1_000, 10, MAX_MILLIS),
                platform.integer("maxCallsPerSecond", 50, 1, MAX_CALLS_PER_SECOND),
                top.addresses("seeds"),
                limits.integer("maxBodyBytes", 8 << 20, 1_024, MAX_BODY_BYTES),
                limits.integer("maxAnswerBytes", MAX_RESPONSE_BYTES, 1_024, MAX_RESPONSE_BYTES),
                shutdown.integer("drainDelayMillis", 2_000, 0, MAX_MILLIS),
                shutdown.integer("graceMillis", 60_000, 0, MAX_MILLIS),
                top.number("randomSeed", 0, Long.MIN_VALUE, Long.MAX_VALUE));
        List.of(top, vm, listen, platform, limits, shutdown).forEach(SettingsSection::rejectUnknownFields);
        return settings;
    }

    // Port 0 stands for any free port, so two addresses with port 0 do not collide.
    private static void rejectDuplicates(SettingsSection listen, InetSocketAddress... addresses) {
        String[] fields = {"httpAddress", "rpcAddress", "peerAddress"};
        for (int i = 1; i < fields.length; i++) {
            for (int j = 0; j < i; j++) {
                if (collide(addresses[i], addresses[j])) {
                    listen.fault(fields[i], "expected an address that " + fields[j] + " does not use");
                    break;
                }
            }
        }
    }

    private static boolean collide(InetSocketAddress a, InetSocketAddress b) {
        if (a == null || b == null || a.getPort() != b.getPort() || a.getPort() == 0) {
            return false;
        }
        return a.equals(b)
                || a.getAddress().isAnyLocalAddress()
                || b.getAddress().isAnyLocalAddress();
    }
}
