package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.cfg.FleetSettings;
import io.agatelane.node.cfg.FleetSettingsReader;
import io.agatelane.node.util.EventLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/** Reloads a settings file when it has changed. An unusable file leaves the known settings in force. */
public final class SettingsReloader {
    private static final EventLog LOG = EventLog.of(SettingsReloader.class);
    // Settings may change without a signal and must be in force within two seconds.
    private static final long PERIOD_MILLIS = 1_000;

    private final Path file;
    private final Consumer<FleetSettings> listener;
    private FleetSettings known;
    private String stamp;

    /** Creates a watch for the file that the settings were read from. */
    public SettingsReloader(Path file, FleetSettings settings, Consumer<FleetSettings> listener) {
        this.file = file;
        this.known = settings;
        this.listener = listener;
        this.stamp = stamp();
    }

    /** Starts checking the file periodically. */
    public void start(TimerService timers) {
        timers.every("settings-watch", PERIOD_MILLIS, () -> {
            if (!stamp().equals(stamp)) {
                reload("file_changed");
            }
        });
    }

    /** Reads the file now and passes changed settings to the listener. */
    public synchronized void reload(String cause) {
        stamp = stamp();
        try {
            FleetSettings read = FleetSettingsReader.read(file);
            LOG.event("settings_reloaded")
                    .with("cause", cause)
                    .with("changed", !read.equals(known))
                    .info();
            if (!read.equals(known)) {
                known = read;
                listener.accept(read);
            }
        } catch (AgatelaneException e) {
            LOG.event("settings_unusable")
                    .with("cause", cause)
                    .with("action", "keeps_older")
                    .with("reason", e.getMessage())
                    .warning();
        }
    }

    private String stamp() {
        try {
            return Files.getLastModifiedTime(file) + "/" + Files.size(file);
        } catch (IOException e) {
            return "unreadable: " + e;
        }
    }
}
