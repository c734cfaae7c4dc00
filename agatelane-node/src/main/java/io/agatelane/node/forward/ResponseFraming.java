package io.agatelane.node.forward;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** How a response of an upstream states where its body ends. */
enum ResponseFraming {
    /** By a length in its head. */
    LENGTH,
    /** By the last of its chunks. */
    CHUNKED,
    /** By the end of the connection, which an upstream that fails may close as well. */
    CONNECTION_END;

    static ResponseFraming of(HttpFields headers) {
        if (headers.contains(HttpHeader.TRANSFER_ENCODING)) {
            return CHUNKED;
        }
        return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION_END;
    }
}
