package io.agatelane.cli;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.cfg.Settings;
import io.agatelane.node.impl.RouterNode;
import java.io.IOException;
import java.io.InputStream;
import java.util.logging.LogManager;

/** Runs one router for the life of the process. */
final class RouterProcess implements RouterLauncher {
    private static final String LOGGING_CONFIG_FILE = "logging.properties";

    /** Selects {@link DrainingLogManager} as the log manager. Must be called before the first use of a logger. */
    static void selectLogManager() {
        System.setProperty("java.util.logging.manager", DrainingLogManager.class.getName());
    }

    @Override
    public void run(Settings settings) {
        configureLogging();
        RouterNode node = RouterNode.start(settings);
        // The JVM runs the hook on SIGTERM and SIGINT and waits for it before it exits.
        Runtime.getRuntime().addShutdownHook(new Thread(node::shutDownGracefully, "shutdown"));
        try {
            node.awaitClosed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            node.close();
        }
    }

    /** Keeps the log handlers open until the process ends. */
    static void keepLogHandlers() {
        LogManager manager = LogManager.getLogManager();
        if (manager instanceof DrainingLogManager) {
            ((DrainingLogManager) manager).keepHandlers();
        }
    }

    // An operator's own configuration file, set by the JDK's system property, takes precedence over the built-in one.
    private static void configureLogging() {
        if (System.getProperty("java.util.logging.config.file") != null) {
            return;
        }
        try (InputStream in = RouterProcess.class.getResourceAsStream(LOGGING_CONFIG_FILE)) {
            LogManager.getLogManager().readConfiguration(in);
            keepLogHandlers();
        } catch (IOException e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the logging configuration cannot be read", e);
        }
    }
}
