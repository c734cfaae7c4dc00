package io.agatelane.lab.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.lab.load.Arrival;
import io.agatelane.lab.load.LoadTarget;
import java.util.Map;

/** Sends requests directly to engines, which saves the hop through a router and so favours the baselines. */
abstract class EngineTarget implements LoadTarget, AutoCloseable {
    private final Fleet fleet;

    EngineTarget(Fleet fleet) {
        this.fleet = fleet;
    }

    @Override
    public final Call prepareCall(Arrival arrival, ObjectNode body) {
        String salt = saltOf(arrival);
        body.put("cache_salt", salt);
        body.put("priority", priorityOf(arrival));
        String url = fleet.engines().get(chooseEngine(arrival, salt)).url();
        return new Call(url + "/v1/chat/completions", Map.of("X-Request-Id", arrival.key()));
    }

    @Override
    public void close() {}

    /** Returns the index of the engine for a request. */
    abstract int chooseEngine(Arrival arrival, String salt);

    /**
     * Returns the engine priority of a request; lower values run earlier. Naive baselines give all requests the same.
     */
    int priorityOf(Arrival arrival) {
        return 0;
    }

    final Fleet fleet() {
        return fleet;
    }

    private String saltOf(Arrival arrival) {
        return "account-" + arrival.account() + "/" + fleet.settings().weightsVersion();
    }
}
