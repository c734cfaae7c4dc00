package io.agatelane.lab.load;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Parses a byte stream into server-sent events. */
public final class EventStreamParser {
    private final Consumer<Event> listener;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String id = "";
    private String type = "message";

    public EventStreamParser(Consumer<Event> listener) {
        this.listener = listener;
    }

    /** Parses the next bytes, which may end anywhere inside an event. */
    public void feed(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                parseLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else if (next != '\r') {
                line.write(next);
            }
        }
    }

    private void parseLine(String text) {
        if (text.isEmpty()) {
            if (data.length() > 0) {
                listener.accept(new Event(id, type, data.toString()));
            }
            data.setLength(0);
            type = "message";
            id = "";
        } else if (text.startsWith("data:")) {
            data.append(data.length() > 0 ? "\n" : "").append(valueOf(text, 5));
        } else if (text.startsWith("id:")) {
            id = valueOf(text, 3);
        } else if (text.startsWith("event:")) {
            type = valueOf(text, 6);
        }
    }

    private static String valueOf(String text, int start) {
        return text.substring(text.length() > start && text.charAt(start) == ' ' ? start + 1 : start);
    }

    /** One event; the id is empty when the event has none. */
    public record Event(String id, String type, String data) {}
}
