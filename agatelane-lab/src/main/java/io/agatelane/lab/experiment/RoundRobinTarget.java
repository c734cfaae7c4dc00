package io.agatelane.lab.experiment;

import io.agatelane.lab.load.Arrival;

/** Naive baseline: sends the requests to the engines in turn. */
final class RoundRobinTarget extends EngineTarget {
    RoundRobinTarget(Fleet fleet) {
        super(fleet);
    }

    @Override
    int chooseEngine(Arrival arrival, String salt) {
        return arrival.index() % fleet().engines().size();
    }
}
