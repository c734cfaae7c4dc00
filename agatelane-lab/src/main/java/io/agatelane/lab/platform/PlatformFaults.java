package io.agatelane.lab.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.http.BadRequestException;
import java.util.Set;

/** Faults that the platform stand-in injects on request. A change contains only the fields that it sets. */
final class PlatformFaults {
    private static final Set<String> OUTAGES = Set.of("off", "close", "hang");

    private String outage = "off";
    private long latencyMillis;
    private int responsesToLose;
    private int readsPerSecond;
    private int writesPerSecond;

    /** Sets the faults that a JSON object contains; {@code outage} may also be true ("close") or false ("off"). */
    synchronized void apply(ObjectNode change) {
        if (change.has("outage")) {
            String requestedOutage = change.get("outage").isBoolean()
                    ? (change.get("outage").asBoolean() ? "close" : "off")
                    : change.get("outage").asText();
            if (!OUTAGES.contains(requestedOutage)) {
                throw new BadRequestException("outage must be one of " + OUTAGES);
            }
            outage = requestedOutage;
        }
        latencyMillis = change.path("latencyMillis").asLong(latencyMillis);
        responsesToLose = change.path("loseReplies").asInt(responsesToLose);
        readsPerSecond = change.path("readsPerSecond").asInt(readsPerSecond);
        writesPerSecond = change.path("writesPerSecond").asInt(writesPerSecond);
    }

    synchronized ObjectNode toJson() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("outage", outage)
                .put("latencyMillis", latencyMillis)
                .put("loseReplies", responsesToLose)
                .put("readsPerSecond", readsPerSecond)
                .put("writesPerSecond", writesPerSecond);
    }

    synchronized String outage() {
        return outage;
    }

    synchronized long latencyMillis() {
        return latencyMillis;
    }

    /** Returns the limit of writes or reads per second; 0 means no limit. */
    synchronized int ratePerSecond(boolean write) {
        return write ? writesPerSecond : readsPerSecond;
    }

    /** Returns whether the response to this write is to be lost; counts down the responses to lose. */
    synchronized boolean takeLostResponse() {
        if (responsesToLose == 0) {
            return false;
        }
        responsesToLose--;
        return true;
    }
}
