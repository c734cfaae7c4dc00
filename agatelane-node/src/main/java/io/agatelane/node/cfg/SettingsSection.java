package io.agatelane.node.cfg;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the fields of one JSON object and reports each fault with its JSON pointer. */
final class SettingsSection {
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]{2,45}]):(\\d{1,5})");
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final String NAME_EXPECTATION =
            "expected 1 to 63 of A-Z a-z 0-9 . _ - that start with a letter or digit";
    private static final int MAX_PORT = 65_535;

    private final JsonNode node;
    private final String pointer;
    private final BiConsumer<String, String> faults;
    private final Set<String> knownFields = new HashSet<>();

    SettingsSection(JsonNode node, String pointer, BiConsumer<String, String> faults) {
        this.node = node;
        this.pointer = pointer;
        this.faults = faults;
    }

    /** Returns a nested object; an empty one when the field is missing. */
    SettingsSection section(String field) {
        knownFields.add(field);
        JsonNode child = node.path(field);
        if (!child.isMissingNode() && !child.isObject()) {
            fault(field, "expected an object, found " + describe(child));
            child = MissingNode.getInstance();
        }
        return new SettingsSection(child, pointer + "/" + field, faults);
    }

    String name(String field) {
        String text = text(field);
        if (text != null && !NAME.matcher(text).matches()) {
            fault(field, NAME_EXPECTATION + ", found \"" + text + "\"");
        }
        return text;
    }

    /** Returns an HTTP base URL without a path. */
    String url(String field) {
        String text = text(field);
        if (text == null) {
            return null;
        }
        try {
            URI uri = new URI(text);
            boolean valid = "http".equals(uri.getScheme())
                    && uri.getHost() != null
                    && uri.getPort() > 0
                    && uri.getPort() <= MAX_PORT
                    && uri.getRawPath().isEmpty()
                    && uri.getRawQuery() == null
                    && uri.getRawUserInfo() == null;
            if (valid) {
                return text;
            }
        } catch (URISyntaxException e) {
            // Reported below like any other text that is not a URL.
        }
        fault(field, "expected http://HOST:PORT without a path, found \"" + text + "\"");
        return null;
    }

    InetSocketAddress address(String field) {
        String text = text(field);
        return text == null ? null : address(field, text);
    }

    List<InetSocketAddress> addresses(String field) {
        knownFields.add(field);
        JsonNode value = node.path(field);
        List<InetSocketAddress> result = new ArrayList<>();
        if (value.isMissingNode()) {
            return result;
        }
        if (!value.isArray()) {
            fault(field, "expected an array of IP:PORT, found " + describe(value));
            return result;
        }
        for (int i = 0; i < value.size(); i++) {
            String element = field + "/" + i;
            if (!value.get(i).isTextual()) {
                fault(element, "expected IP:PORT as a string, found " + describe(value.get(i)));
                continue;
            }
            InetSocketAddress address = address(element, value.get(i).asText());
            if (address != null && result.contains(address)) {
                fault(element, "expected each address only once");
            } else if (address != null) {
                result.add(address);
            }
        }
        return result;
    }

    int integer(String field, int defaultValue, int min, int max) {
        return (int) number(field, defaultValue, min, max);
    }

    long number(String field, long defaultValue, long min, long max) {
        knownFields.add(field);
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isIntegralNumber()) {
            fault(field, "expected an integer, found " + describe(value));
            return defaultValue;
        }
        if (!value.canConvertToLong() || value.asLong() < min || value.asLong() > max) {
            fault(field, "expected " + min + " to " + max + ", found " + value.asText());
            return defaultValue;
        }
        return value.asLong();
    }

    boolean flag(String field, boolean defaultValue) {
        knownFields.add(field);
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            fault(field, "expected true or false, found " + describe(value));
            return defaultValue;
        }
        return value.asBoolean();
    }

    /** Returns a number with or without a fraction. */
    double decimal(String field, double defaultValue, double min, double max) {
        knownFields.add(field);
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
            fault(field, "expected a number from " + min + " to " + max + ", found " + describe(value));
            return defaultValue;
        }
        return value.asDouble();
    }

    void fault(String field, String expected) {
        faults.accept(pointer + "/" + field, expected);
    }

    /** Reports the fields that were not read. */
    void rejectUnknownFields() {
        node.fieldNames().forEachRemaining(field -> {
            if (!knownFields.contains(field)) {
                fault(
                        field.replace("~", "~0").replace("/", "~1"),
                        "unknown field, expected one of "
                                + knownFields.stream().sorted().toList());
            }
        });
    }

    private String text(String field) {
        knownFields.add(field);
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            fault(field, "missing, expected a string");
            return null;
        }
        if (!value.isTextual()) {
            fault(field, "expected a string, found " + describe(value));
            return null;
        }
        return value.asText();
    }

    private InetSocketAddress address(String field, String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (matcher.matches() && Integer.parseInt(matcher.group(2)) <= MAX_PORT) {
            try {
                // The pattern accepts only literal addresses, so no DNS lookup takes place.
                InetAddress ip = InetAddress.getByName(matcher.group(1));
                return new InetSocketAddress(ip, Integer.parseInt(matcher.group(2)));
            } catch (UnknownHostException e) {
                // Reported below like any other text that is not an address.
            }
        }
        fault(field, "expected IP:PORT, found \"" + text + "\"");
        return null;
    }

    private static String describe(JsonNode value) {
        return switch (value.getNodeType()) {
            case STRING -> "a string";
            case NUMBER -> "the number " + value.asText();
            case BOOLEAN -> value.asText();
            case ARRAY -> "an array";
            case OBJECT -> "an object";
            default -> "null";
        };
    }
}
