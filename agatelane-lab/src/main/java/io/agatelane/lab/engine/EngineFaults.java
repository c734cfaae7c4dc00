package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Faults that an engine stand-in injects on request. A change contains only the fields that it sets. */
final class EngineFaults {
    private double straggleFactor = 1;
    private int eventsToDrop;
    private String crashMarker = "";
    private long crashMillis = 1_000;
    private int responsesToMisdeliver;
    private int responsesToDelay;
    private long responseDelayMillis = 1_000;
    private long frozenUntilMillis;
    private long eventLagMillis;
    private long loadLagMillis;

    EngineFaults(long loadLagMillis) {
        this.loadLagMillis = loadLagMillis;
    }

    /** Sets the faults that a JSON object contains; the others keep their values. */
    synchronized void apply(ObjectNode change, long nowMillis) {
        straggleFactor = change.path("straggleFactor").asDouble(straggleFactor);
        eventsToDrop = change.path("dropEvents").asInt(eventsToDrop);
        crashMarker = change.path("crashOn").asText(crashMarker);
        crashMillis = change.path("crashMillis").asLong(crashMillis);
        responsesToMisdeliver = change.path("crossAnswers").asInt(responsesToMisdeliver);
        responsesToDelay = change.path("lateAnswers").asInt(responsesToDelay);
        responseDelayMillis = change.path("lateMillis").asLong(responseDelayMillis);
        eventLagMillis = change.path("eventLagMillis").asLong(eventLagMillis);
        loadLagMillis = change.path("loadLagMillis").asLong(loadLagMillis);
        if (change.has("freezeMillis")) {
            frozenUntilMillis = nowMillis + change.path("freezeMillis").asLong();
        }
    }

    synchronized ObjectNode toJson(long nowMillis) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("straggleFactor", straggleFactor)
                .put("dropEvents", eventsToDrop)
                .put("crashOn", crashMarker)
                .put("crashMillis", crashMillis)
                .put("crossAnswers", responsesToMisdeliver)
                .put("lateAnswers", responsesToDelay)
                .put("lateMillis", responseDelayMillis)
                .put("eventLagMillis", eventLagMillis)
                .put("loadLagMillis", loadLagMillis)
                .put("freezeMillis", Math.max(0, frozenUntilMillis - nowMillis));
    }

    synchronized double straggleFactor() {
        return straggleFactor;
    }

    synchronized boolean containsCrashMarker(String prompt) {
        return !crashMarker.isEmpty() && prompt.contains(crashMarker);
    }

    synchronized long eventLagMillis() {
        return eventLagMillis;
    }

    synchronized long loadLagMillis() {
        return loadLagMillis;
    }

    synchronized long crashMillis() {
        return crashMillis;
    }

    synchronized long frozenMillis(long nowMillis) {
        return Math.max(0, frozenUntilMillis - nowMillis);
    }

    synchronized boolean takeDroppedEvent() {
        return eventsToDrop > 0 && eventsToDrop-- > 0;
    }

    synchronized boolean takeMisdeliveredResponse() {
        return responsesToMisdeliver > 0 && responsesToMisdeliver-- > 0;
    }

    /** Returns the delay of the next response in milliseconds, 0 for none; counts down the responses to delay. */
    synchronized long takeResponseDelayMillis() {
        if (responsesToDelay == 0) {
            return 0;
        }
        responsesToDelay--;
        return responseDelayMillis;
    }
}
