package io.agatelane.node.io.http;

/** A connection that delivers only as many bytes as it has credit for. */
interface CreditedEndPoint {
    /** The number of bytes that this connection may still deliver. */
    ReadCredit readCredit();
}
