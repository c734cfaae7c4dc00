package io.agatelane.lab.experiment;

import io.agatelane.lab.load.Workload;
import io.agatelane.lab.load.WorkloadClass;
import java.util.List;

/** Derives the workloads of the experiments from the workload files of the two deployments. */
final class Workloads {
    private Workloads() {}

    /**
     * Reads a workload file and returns its chat classes without its rate steps, with seed and duration of the inputs.
     */
    static Workload chats(Experiment.Inputs inputs, String file) {
        Workload all = Workload.read(inputs.workloads().resolve(file));
        List<WorkloadClass> chats = all.classes().stream()
                .filter(workloadClass -> !workloadClass.isBooking())
                .toList();
        return all.withClasses(chats)
                .withRateSteps(List.of())
                .withSeed(inputs.seed())
                .withDuration(inputs.durationMillis());
    }

    /** Returns a copy without one class, in which the others arrive as often as before. */
    static Workload without(Workload workload, String className) {
        return workload.withClasses(workload.classes().stream()
                .filter(workloadClass -> !workloadClass.name().equals(className))
                .toList());
    }
}
