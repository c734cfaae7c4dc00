package io.agatelane.node.io.service;

/** Complete body of a caller's request. */
final class RequestBody {
    private final byte[] bytes;

    /** Wraps the array without a copy; it must not change afterwards. */
    RequestBody(byte[] bytes) {
        this.bytes = bytes;
    }

    byte[] bytes() {
        return bytes;
    }
}
