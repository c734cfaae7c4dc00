package io.agatelane.node.cfg;

/**
 * One fault of a settings file.
 *
 * @param pointer JSON pointer of the field; empty for the whole file
 * @param expected what was expected there
 */
public record SettingsFault(String file, String pointer, String expected) {
    @Override
    public String toString() {
        return file + ": " + (pointer.isEmpty() ? "/" : pointer) + ": " + expected;
    }
}
