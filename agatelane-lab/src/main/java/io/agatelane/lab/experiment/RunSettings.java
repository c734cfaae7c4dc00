package io.agatelane.lab.experiment;

import io.agatelane.core.model.RoutingPolicy;
import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.load.Workload;
import java.util.function.Consumer;

/**
 * Settings of one run of an experiment.
 *
 * @param accounts number of client accounts
 * @param routers number of routers in front of the engines; the baselines run without routers
 * @param disturbance action that disturbs the engines; called with the started fleet when the run starts
 */
record RunSettings(
        Workload workload,
        EngineSettings engine,
        int engines,
        int accounts,
        int routers,
        RoutingPolicy policy,
        Consumer<Fleet> disturbance) {
    static RunSettings of(Workload workload, EngineSettings engine, int engines) {
        return new RunSettings(workload, engine, engines, 4, 2, RoutingPolicy.DEFAULT, fleet -> {});
    }

    RunSettings withWorkload(Workload newWorkload) {
        return new RunSettings(newWorkload, engine, engines, accounts, routers, policy, disturbance);
    }

    RunSettings withPolicy(RoutingPolicy newPolicy) {
        return new RunSettings(workload, engine, engines, accounts, routers, newPolicy, disturbance);
    }

    RunSettings withDisturbance(Consumer<Fleet> newDisturbance) {
        return new RunSettings(workload, engine, engines, accounts, routers, policy, newDisturbance);
    }
}
