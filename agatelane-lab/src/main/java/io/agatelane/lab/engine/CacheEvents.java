package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;

/** Numbered cache events with a bounded history; a dropped event leaves a gap in the sequence numbers. */
final class CacheEvents {
    private static final int HISTORY_LIMIT = 4_096;

    private final Deque<Event> history = new ArrayDeque<>();
    private final List<Consumer<String>> subscribers = new ArrayList<>();
    private long lastSequence;

    /** Formats an event with the next sequence number, without publishing it. */
    synchronized String prepare(String type, String salt, List<Long> digests) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("seq", ++lastSequence).put("type", type).put("salt", salt);
        ArrayNode array = node.putArray("digests");
        digests.forEach(digest -> array.add(HexFormat.of().toHexDigits(digest)));
        return "id: " + lastSequence + "\ndata: " + node + "\n\n";
    }

    /** Adds a prepared event to the history and sends it to all subscribers. */
    synchronized void publish(String event) {
        long sequence = Long.parseLong(event.substring("id: ".length(), event.indexOf('\n')));
        history.addLast(new Event(sequence, event));
        if (history.size() > HISTORY_LIMIT) {
            history.removeFirst();
        }
        subscribers.forEach(subscriber -> subscriber.accept(event));
    }

    /** Sends the subscriber the events of the history from a sequence number on, and then each later event. */
    synchronized void subscribe(long fromSequence, Consumer<String> subscriber) {
        history.stream()
                .filter(event -> event.sequence() >= fromSequence)
                .forEach(event -> subscriber.accept(event.text()));
        subscribers.add(subscriber);
    }

    synchronized void unsubscribe(Consumer<String> subscriber) {
        subscribers.remove(subscriber);
    }

    /** Drops history and subscribers; a new incarnation numbers its events from 1 again. */
    synchronized void reset() {
        history.clear();
        subscribers.clear();
        lastSequence = 0;
    }

    private record Event(long sequence, String text) {}
}
