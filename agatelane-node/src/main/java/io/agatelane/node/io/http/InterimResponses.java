package io.agatelane.node.io.http;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.ProtocolHandlers;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpStatus;

/** Skips interim responses in HTTP clients that follow no redirects and answer no authentication challenges. */
public final class InterimResponses {
    private InterimResponses() {}

    /**
     * Replaces the protocol handlers of a started client. Without a handler an interim response is delivered as the final
     * one, and the client then waits in vain: not even an abort of the request ends it.
     */
    public static void handleOnly(HttpClient client) {
        ProtocolHandlers handlers = client.getProtocolHandlers();
        handlers.clear();
        handlers.put(new EveryContinueHandler());
        handlers.put(new ProcessingProtocolHandler());
        handlers.put(new EarlyHintsProtocolHandler());
    }

    /** Skips each interim response of this kind; the client's handler skips one and delivers the next as the final one. */
    private static final class EveryContinueHandler extends ContinueProtocolHandler {
        @Override
        public boolean accept(Request request, Response response) {
            return response.getStatus() == HttpStatus.CONTINUE_100;
        }
    }
}
