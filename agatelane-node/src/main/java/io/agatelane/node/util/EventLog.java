package io.agatelane.node.util;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;

/** Writes one line of key=value pairs for each event. */
public final class EventLog {
    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    public static EventLog of(Class<?> owner) {
        return new EventLog(System.getLogger(owner.getName()));
    }

    /** Starts the line of an event. */
    public Event event(String name) {
        return new Event(logger, name);
    }

    /** Builds the line of one event. */
    public static final class Event {
        private final Logger logger;
        private final StringBuilder line;

        private Event(Logger logger, String name) {
            this.logger = logger;
            this.line = new StringBuilder(160).append("event=").append(name);
        }

        /** Adds a pair. Values with spaces, quotes or line ends are quoted. */
        public Event with(String key, Object value) {
            line.append(' ').append(key).append('=').append(quote(String.valueOf(value)));
            return this;
        }

        /** Adds a pair with an integer. */
        public Event with(String key, long value) {
            line.append(' ').append(key).append('=').append(value);
            return this;
        }

        /** Adds a pair with a number, written with two decimals. */
        public Event with(String key, double value) {
            line.append(' ').append(key).append('=').append(String.format(Locale.ROOT, "%.2f", value));
            return this;
        }

        public void info() {
            logger.log(Level.INFO, line.toString());
        }

        public void warning() {
            logger.log(Level.WARNING, line.toString());
        }

        /** Writes the line with the stack trace of an unexpected failure. */
        public void error(Throwable throwable) {
            logger.log(Level.ERROR, line.toString(), throwable);
        }

        private static String quote(String value) {
            boolean plain = !value.isEmpty();
            for (int i = 0; plain && i < value.length(); i++) {
                char c = value.charAt(i);
                plain = c > ' ' && c != '"' && c != '=' && c != '\\';
            }
            if (plain) {
                return value;
            }
            return '"'
                    + value.replace("\\", "\\\\")
                            .replace("\"", "\\\"")
                            .replace("\n", "\\n")
                            .replace("\r", "\\r")
                    + '"';
        }
    }
}
