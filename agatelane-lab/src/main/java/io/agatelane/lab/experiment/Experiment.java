package io.agatelane.lab.experiment;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/** An experiment that prints one table. */
public enum Experiment {
    OVERHEAD("overhead", OverheadExperiment::new),
    PREFIX("prefix", PrefixExperiment::new),
    BLOCKING("blocking", BlockingExperiment::new),
    TAIL("tail", TailExperiment::new),
    PEAK("peak", PeakExperiment::new),
    STRAGGLER("straggler", StragglerExperiment::new);

    private final String title;

    @SuppressWarnings("ImmutableEnumChecker") // A constructor reference has no state.
    private final Supplier<Body> body;

    Experiment(String title, Supplier<Body> body) {
        this.title = title;
        this.body = body;
    }

    /** Names of all experiments. */
    public static List<String> titles() {
        return Arrays.stream(values()).map(experiment -> experiment.title).toList();
    }

    /**
     * Finds an experiment by its name.
     *
     * @throws IllegalArgumentException when there is none
     */
    public static Experiment of(String title) {
        return Arrays.stream(values())
                .filter(experiment -> experiment.title.equals(title))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no experiment " + title + "; one of " + titles()));
    }

    /** Runs the experiment and returns its table with the seed. */
    public String run(Path workloads, long seed, long durationMillis) throws InterruptedException {
        return title + ", seed " + seed + ", " + durationMillis + " ms per run" + System.lineSeparator()
                + body.get().run(new Inputs(workloads, seed, durationMillis));
    }

    /** The measurements of an experiment. */
    interface Body {
        String run(Inputs inputs) throws InterruptedException;
    }

    /** Options of an experiment. */
    record Inputs(Path workloads, long seed, long durationMillis) {}
}
