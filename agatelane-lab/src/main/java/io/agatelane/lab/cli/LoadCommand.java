package io.agatelane.lab.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.load.ArrivalPlan;
import io.agatelane.lab.load.LoadRunner;
import io.agatelane.lab.load.LocalSystem;
import io.agatelane.lab.load.RouterTarget;
import io.agatelane.lab.load.Workload;
import io.agatelane.lab.load.WorkloadReport;
import java.nio.file.Path;

/** Sends a workload to a running system. */
@Parameters(commandNames = "load", commandDescription = "Sends a workload to a system started by scripts/local-up.")
public final class LoadCommand implements Command {
    @Parameter(names = "--system", required = true, description = "JSON file written by scripts/local-up")
    private String system;

    @Parameter(names = "--workload", required = true, description = "Workload file")
    private String workload;

    @Parameter(names = "--seed", description = "Seed instead of the one in the workload")
    private Long seed;

    @Parameter(names = "--rate", description = "Requests per second instead of the rate in the workload")
    private Double rate;

    @Parameter(names = "--duration-millis", description = "Duration instead of the one in the workload")
    private Long durationMillis;

    @Parameter(
            names = "--weights-version",
            description = "Weights version whose output responses are compared with; empty skips this")
    private String weightsVersion = "v1";

    @Override
    public int run() throws Exception {
        LocalSystem localSystem = LocalSystem.read(Path.of(system));
        Workload adjusted = Workload.read(Path.of(workload));
        adjusted = seed == null ? adjusted : adjusted.withSeed(seed);
        adjusted = rate == null ? adjusted : adjusted.withRate(rate);
        adjusted = durationMillis == null ? adjusted : adjusted.withDuration(durationMillis);
        RouterTarget target = new RouterTarget(
                localSystem.routerUrls(),
                localSystem.apiKeys(),
                localSystem.bookingPaths().stream().findFirst().orElse(""));
        try (LabClient client = new LabClient()) {
            LoadRunner runner = new LoadRunner(client, adjusted, weightsVersion, target);
            WorkloadReport report =
                    runner.run(ArrivalPlan.of(adjusted, localSystem.apiKeys().size()));
            System.out.printf("workload %s, seed %d%n%s", adjusted.name(), adjusted.seed(), report.toTable());
            System.out.printf("hit rate %.3f%n", report.hitRate());
            return report.failedCount() == 0 ? 0 : 1;
        }
    }
}
