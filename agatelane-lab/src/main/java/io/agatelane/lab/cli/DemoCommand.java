package io.agatelane.lab.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.agatelane.lab.demo.Demo;
import io.agatelane.lab.http.LabClient;
import io.agatelane.lab.load.LocalSystem;
import java.nio.file.Path;

/** Demonstrates nested prefixes and a booking that is sent many times, on a running system. */
@Parameters(commandNames = "demo", commandDescription = "Sends the demonstration requests to a running system.")
public final class DemoCommand implements Command {
    @Parameter(names = "--system", required = true, description = "JSON file written by scripts/local-up")
    private String system;

    @Parameter(names = "--retries", description = "Times that the booking is sent at once")
    private int retries = 30;

    @Override
    public int run() throws Exception {
        try (LabClient client = new LabClient()) {
            return new Demo(client, LocalSystem.read(Path.of(system)), retries).run() ? 0 : 1;
        }
    }
}
