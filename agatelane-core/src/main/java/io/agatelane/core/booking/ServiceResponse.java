package io.agatelane.core.booking;

import java.util.Arrays;
import java.util.Objects;

/** Complete response of a service, stored so that a caller that retries receives the same response. */
public final class ServiceResponse {
    private final int status;
    private final String contentType;
    private final byte[] body;

    /** Keeps a reference to the array, which the caller must not change afterwards. */
    public ServiceResponse(int status, String contentType, byte[] body) {
        this.status = status;
        this.contentType = Objects.requireNonNull(contentType);
        this.body = Objects.requireNonNull(body);
    }

    public int status() {
        return status;
    }

    /** Returns the media type; empty when the service sent none. */
    public String contentType() {
        return contentType;
    }

    /** Returns the body itself, not a copy; it must not be changed. */
    public byte[] body() {
        return body;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceResponse that
                && status == that.status
                && contentType.equals(that.contentType)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, contentType, Arrays.hashCode(body));
    }

    @Override
    public String toString() {
        return "ServiceResponse[status=" + status + ", contentType=" + contentType + ", bodyBytes=" + body.length + "]";
    }
}
