package io.agatelane.node.io.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Parses server-sent events from chunks that may end anywhere, also within a character. */
final class SseParser {
    /** One event; {@code id} is null when the event has none. */
    record Event(String id, String type, String data) {}

    private final int maxEventBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private StringBuilder data;
    private String id;
    private String type = "";
    private boolean afterCarriageReturn;

    /** Creates a parser that fails on lines or events above a size. */
    SseParser(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Parses the next bytes and reports each complete event.
     *
     * @throws IllegalStateException when an event is larger than the limit
     */
    void parse(ByteBuffer bytes, Consumer<Event> events) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n' && afterCarriageReturn) {
                afterCarriageReturn = false;
                continue;
            }
            afterCarriageReturn = b == '\r';
            if (b == '\n' || b == '\r') {
                endLine(events);
            } else {
                line.write(b);
                requireSize(line.size());
            }
        }
    }

    private void endLine(Consumer<Event> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.isEmpty()) {
            endEvent(events);
            return;
        }
        int colon = text.indexOf(':');
        if (colon == 0) {
            return;
        }
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        value = value.startsWith(" ") ? value.substring(1) : value;
        switch (field) {
            case "data" -> addData(value);
            case "id" -> id = value;
            case "event" -> type = value;
            default -> {
                // The event stream format requires readers to ignore unknown fields.
            }
        }
    }

    private void addData(String value) {
        if (data == null) {
            data = new StringBuilder(value);
        } else {
            data.append('\n').append(value);
        }
        requireSize(data.length());
    }

    private void endEvent(Consumer<Event> events) {
        if (data != null) {
            events.accept(new Event(id, type, data.toString()));
        }
        data = null;
        id = null;
        type = "";
    }

    private void requireSize(int size) {
        if (size > maxEventBytes) {
            throw new IllegalStateException("an event is larger than " + maxEventBytes + " bytes");
        }
    }
}
