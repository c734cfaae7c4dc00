package io.agatelane.core.config.query;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Checks the fields of one object and collects the errors found. */
final class FieldChecks {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern MODEL_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}");
    private static final Pattern KEY_DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern PRINTABLE = Pattern.compile("[\\x21-\\x7e]{1,256}");
    private static final Pattern BASE_URL =
            Pattern.compile("http://(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]{2,45}]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;

    private final String prefix;
    private final List<FieldError> errors = new ArrayList<>();

    FieldChecks(String prefix) {
        this.prefix = prefix;
    }

    List<FieldError> errors() {
        return errors;
    }

    void addError(String field, String expected) {
        errors.add(new FieldError(prefix + "/" + field, expected));
    }

    void checkObjectName(String name, boolean model) {
        if (model && !MODEL_NAME.matcher(name).matches()) {
            errors.add(new FieldError(
                    "/name", "expected 1 to 127 of A-Z a-z 0-9 . _ - : / that start with a letter or digit"));
        } else if (!model && !NAME.matcher(name).matches()) {
            errors.add(
                    new FieldError("/name", "expected 1 to 63 of A-Z a-z 0-9 . _ - that start with a letter or digit"));
        }
    }

    void checkName(String field, String value) {
        if (!NAME.matcher(value).matches()) {
            addError(field, "expected 1 to 63 of A-Z a-z 0-9 . _ - that start with a letter or digit");
        }
    }

    void checkPrintable(String field, String value) {
        if (!PRINTABLE.matcher(value).matches()) {
            addError(field, "expected 1 to 256 printable ASCII characters without spaces");
        }
    }

    void checkKeyDigest(String field, String value) {
        if (!KEY_DIGEST.matcher(value).matches()) {
            addError(field, "expected a SHA-256 digest as 64 lower-case hexadecimal digits");
        }
    }

    void checkRange(String field, long value, long min, long max) {
        if (value < min || value > max) {
            addError(field, "expected " + min + " to " + max + ", found " + value);
        }
    }

    void checkBaseUrl(String field, String value) {
        var matcher = BASE_URL.matcher(value);
        if (!matcher.matches() || !isAddress(matcher.group(1)) || !isPort(matcher.group(2))) {
            addError(field, "expected http://IP:PORT, found \"" + value + "\"");
        }
    }

    private static boolean isPort(String digits) {
        int port = Integer.parseInt(digits);
        return port >= 1 && port <= MAX_PORT;
    }

    private static boolean isAddress(String address) {
        if (address.startsWith("[")) {
            return address.contains(":");
        }
        for (String octet : address.split("\\.", -1)) {
            if (Integer.parseInt(octet) > MAX_OCTET) {
                return false;
            }
        }
        return true;
    }
}
