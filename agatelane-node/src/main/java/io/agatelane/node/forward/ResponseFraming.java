package io.agatelane.node.forward;

import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** How a response of an upstream states where its body ends. */
enum ResponseFraming {
    /** By its method or status: there is no body. */
    NO_BODY,
    /** By a length in its head. */
    LENGTH,
    /** By the last of its chunks. */
    CHUNKED,
    /** By the end of the connection, which an upstream that fails may close as well. */
    CONNECTION_END;

    static ResponseFraming of(String method, int status, HttpFields headers) {
        if (HttpMethod.HEAD.is(method)
                || status == HttpStatus.NO_CONTENT_204
                || status == HttpStatus.NOT_MODIFIED_304) {
            return NO_BODY;
        }
        List<String> codings = headers.getCSV(HttpHeader.TRANSFER_ENCODING, false);
        if (!codings.isEmpty()) {
            return HttpHeaderValue.CHUNKED.is(codings.get(codings.size() - 1)) ? CHUNKED : CONNECTION_END;
        }
        return headers.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CONNECTION_END;
    }
}
