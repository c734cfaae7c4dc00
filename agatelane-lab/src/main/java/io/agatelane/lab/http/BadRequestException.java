package io.agatelane.lab.http;

/** Thrown when a stand-in cannot parse a request; the client gets status 400. */
public final class BadRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadRequestException(String message) {
        super(message);
    }
}
