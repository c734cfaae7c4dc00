package io.agatelane.cli;

import io.agatelane.node.cfg.FleetSettings;
import io.agatelane.node.cfg.FleetSettingsReader;
import io.agatelane.node.fleet.FleetNode;
import io.agatelane.node.fleet.SettingsReloader;
import io.agatelane.node.util.BoundedLogHandler;
import io.agatelane.platform.UserPlatform;
import java.nio.file.Path;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/** Runs one fleet router for the life of the process. */
final class FleetProcess {
    private static final String LINE_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";
    private static final String LINE_FORMAT = "time=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n";

    private FleetProcess() {}

    /** Starts a router and returns when it has stopped. */
    static void run(Path file) {
        HangupSignal hangup = HangupSignal.install();
        FleetSettings settings = FleetSettingsReader.read(file);
        BoundedLogHandler log = configureLogging();
        FleetNode node = FleetNode.start(settings, new UserPlatform());
        SettingsReloader reloader = new SettingsReloader(file, settings, node::apply);
        reloader.start(node.timers());
        hangup.onSignal(() -> reloader.reload("signal"));
        Thread shutdown = new Thread(
                () -> {
                    node.shutDownGracefully();
                    log.flush();
                },
                "shutdown");
        Runtime.getRuntime().addShutdownHook(shutdown);
        try {
            node.awaitClosed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static BoundedLogHandler configureLogging() {
        System.setProperty(LINE_FORMAT_PROPERTY, LINE_FORMAT);
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        BoundedLogHandler handler = new BoundedLogHandler(System.out, new SimpleFormatter());
        root.addHandler(handler);
        root.setLevel(Level.INFO);
        Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
        RouterProcess.keepLogHandlers();
        return handler;
    }
}
