package io.agatelane.lab.service;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Faults that a service stand-in injects on request. A change contains only the fields that it sets. */
final class ServiceFaults {
    private long delayBeforeMillis;
    private long delayAfterMillis;
    private int closeAfter;
    private long frozenUntilMillis;

    /** Sets the faults that a JSON object contains and returns all faults. */
    synchronized ObjectNode apply(ObjectNode change, long nowMillis) {
        delayBeforeMillis = change.path("delayBeforeMillis").asLong(delayBeforeMillis);
        delayAfterMillis = change.path("delayAfterMillis").asLong(delayAfterMillis);
        closeAfter = change.path("closeAfter").asInt(closeAfter);
        if (change.has("freezeMillis")) {
            frozenUntilMillis = nowMillis + change.path("freezeMillis").asLong();
        }
        return JsonNodeFactory.instance
                .objectNode()
                .put("delayBeforeMillis", delayBeforeMillis)
                .put("delayAfterMillis", delayAfterMillis)
                .put("closeAfter", closeAfter)
                .put("freezeMillis", Math.max(0, frozenUntilMillis - nowMillis));
    }

    synchronized long delayBeforeMillis() {
        return delayBeforeMillis;
    }

    synchronized long delayAfterMillis() {
        return delayAfterMillis;
    }

    /** Returns whether to close the connection of this call after its execution; counts down the calls to close. */
    synchronized boolean takeCloseAfter() {
        return closeAfter > 0 && closeAfter-- > 0;
    }

    synchronized long frozenMillis(long nowMillis) {
        return Math.max(0, frozenUntilMillis - nowMillis);
    }
}
