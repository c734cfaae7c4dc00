package io.agatelane.node.io.http;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Opens connections that report a reset as a failure. */
public final class ResetAwareConnector extends ClientConnector {
    // All connections are in clear text. Loading the certificates of the JDK takes a quarter of the time of a start.
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return null;
    }

    @Override
    protected SelectorManager newSelectorManager() {
        return new ClientSelectorManager(getExecutor(), getScheduler(), getSelectors()) {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
    }
}
