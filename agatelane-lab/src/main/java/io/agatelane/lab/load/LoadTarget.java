package io.agatelane.lab.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Decides where each request of a run goes. */
public interface LoadTarget {
    /** Prepares a request immediately before it is sent; may add fields to the body. */
    Call prepareCall(Arrival arrival, ObjectNode body);

    /** Called when the response to a request has ended or the request has failed. */
    default void onRequestEnd(Arrival arrival) {}

    /** Destination and headers of one request. */
    record Call(String url, Map<String, String> headers) {
        public Call {
            headers = Map.copyOf(headers);
        }
    }
}
