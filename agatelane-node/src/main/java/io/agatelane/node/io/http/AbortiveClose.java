package io.agatelane.node.io.http;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Connection;

/**
 * Resets the connection of a request that is given up.
 *
 * <p>What a connection has sent and the network has not delivered yet, for example because a link is cut, is delivered later
 * even if the connection was closed regularly, and the peer then executes a request that nobody waits for.
 */
public final class AbortiveClose {
    private AbortiveClose() {}

    /** Lets the connection of a request be reset if it is closed before the response is complete. */
    public static Request onFailure(Request request) {
        return request.onRequestBegin(begun -> setResetsOnClose(begun, true))
                .onResponseSuccess(response -> setResetsOnClose(response.getRequest(), false));
    }

    private static void setResetsOnClose(Request request, boolean resets) {
        if (request.getConnection() instanceof Connection connection
                && connection.getEndPoint() instanceof ResetAwareEndPoint endPoint) {
            endPoint.setResetsOnClose(resets);
        }
    }
}
