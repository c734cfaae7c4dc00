package io.agatelane.lab.experiment;

import io.agatelane.lab.load.LoadTarget;

/** A way to distribute requests over engines: a baseline, the oracle or the router. */
enum Strategy {
    ROUND_ROBIN("round robin") {
        @Override
        Placement start(Fleet fleet, RunSettings settings) {
            return Placement.direct(new RoundRobinTarget(fleet));
        }
    },
    LEAST_LOAD("least reported load") {
        @Override
        Placement start(Fleet fleet, RunSettings settings) {
            return Placement.direct(
                    new LeastLoadTarget(fleet, settings.workload().seed()));
        }
    },
    ORACLE("oracle") {
        @Override
        Placement start(Fleet fleet, RunSettings settings) {
            return Placement.direct(new OracleTarget(fleet, settings.policy().longRequestMillis()));
        }
    },
    ROUTER("router") {
        @Override
        Placement start(Fleet fleet, RunSettings settings) {
            RouterGroup group = RouterGroup.start(fleet, settings);
            return new Placement(group.target(), group::close);
        }
    };

    private final String title;

    Strategy(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }

    /** Starts everything that the strategy needs in front of the engines. */
    abstract Placement start(Fleet fleet, RunSettings settings);

    /** A started strategy: where it sends requests, and how it is closed. */
    record Placement(LoadTarget target, Runnable closer) implements AutoCloseable {
        private static Placement direct(EngineTarget target) {
            return new Placement(target, target::close);
        }

        @Override
        public void close() {
            closer.run();
        }
    }
}
