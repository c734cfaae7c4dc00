package io.agatelane.lab.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.FileHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/** Configures the log output of this process. */
public final class LogSetup {
    private static final Logger ROOT = Logger.getLogger("");
    // A strong reference, because the logging system holds loggers by weak references only.
    private static final Logger JETTY = Logger.getLogger("org.eclipse.jetty");

    private LogSetup() {}

    /** Sets the format of log lines and suppresses the start messages of the HTTP library. */
    public static void configureFormat() {
        System.setProperty("java.util.logging.SimpleFormatter.format", "time=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%n");
        JETTY.setLevel(Level.WARNING);
    }

    /** Writes the log to a file, so that experiments include the cost of log lines without printing them. */
    public static void writeTo(Path file) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        for (Handler handler : ROOT.getHandlers()) {
            ROOT.removeHandler(handler);
        }
        FileHandler handler = new FileHandler(file.toString());
        handler.setFormatter(new SimpleFormatter());
        ROOT.addHandler(handler);
    }
}
