package io.agatelane.lab.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.agatelane.lab.experiment.Experiment;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs one experiment in this process. */
@Parameters(commandNames = "experiment", commandDescription = "Runs one experiment and prints its table.")
public final class ExperimentCommand implements Command {
    @Parameter(description = "NAME: overhead, prefix, blocking, tail, peak or straggler", required = true)
    private List<String> names = new ArrayList<>();

    @Parameter(names = "--seed", description = "Seed of the arrivals and prompts")
    private long seed = 1;

    @Parameter(names = "--duration-millis", description = "Duration of each measured run")
    private long durationMillis = 10_000;

    @Parameter(names = "--workloads", description = "Directory of the workload files")
    private String workloads = "agatelane-lab/src/main/workloads";

    @Parameter(names = "--log", description = "File for the log lines of the routers")
    private String log = "run/experiment.log";

    @Override
    public int run() throws Exception {
        LogSetup.writeTo(Path.of(log));
        for (String name : names) {
            System.out.println(Experiment.of(name).run(Path.of(workloads), seed, durationMillis));
        }
        return 0;
    }
}
