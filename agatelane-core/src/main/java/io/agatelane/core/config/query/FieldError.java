package io.agatelane.core.config.query;

/**
 * One error that the validation of a configuration object found.
 *
 * @param location JSON pointer to the field, for example {@code /upstream/base_url}
 * @param expected description of the expected value
 */
public record FieldError(String location, String expected) {
    @Override
    public String toString() {
        return location + ": " + expected;
    }
}
