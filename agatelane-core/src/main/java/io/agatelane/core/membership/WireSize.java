package io.agatelane.core.membership;

/** Upper bounds of Protocol Buffers field sizes, for field numbers below 16 and strings shorter than 128 bytes. */
public final class WireSize {
    /** Size of the tag and of the two-byte length of a nested message. */
    public static final int NESTED_HEADER_BYTES = 3;

    /** Size of the tag and of the value of an enum with fewer than 128 constants. */
    public static final int ENUM_FIELD_BYTES = 2;

    private WireSize() {}

    /** Returns the size of a string field; 0 when empty, as empty fields are not encoded. */
    public static int stringFieldBytes(String value) {
        if (value.isEmpty()) {
            return 0;
        }
        int bytes = 2;
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : 3;
        }
        return bytes;
    }

    /** Returns the size of a varint field; 0 for the value 0, which is not encoded. */
    public static int integerFieldBytes(long value) {
        if (value == 0) {
            return 0;
        }
        return 1 + (Long.SIZE - Long.numberOfLeadingZeros(value) + 6) / 7;
    }
}
