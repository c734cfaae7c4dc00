package io.agatelane.lab.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.agatelane.lab.http.LabServer;
import io.agatelane.lab.service.ServiceServer;
import java.util.List;

/** Runs the stand-in for one instance of a plain service. */
@Parameters(commandNames = "service", commandDescription = "Runs a stand-in of one instance of a plain service.")
public final class ServiceCommand implements Command {
    @Parameter(names = "--http", required = true, description = "IP:PORT to listen on; port 0 takes a free one")
    private String http;

    @Parameter(names = "--name", required = true, description = "Name of the instance; part of its serial numbers")
    private String name;

    @Parameter(names = "--peers", description = "URLs of the other instances, separated by commas")
    private List<String> peers = List.of();

    @Override
    public int run() throws Exception {
        try (ServiceServer server = new ServiceServer(LabServer.parseAddress(http), name, peers).start()) {
            System.out.println("listening " + server.url());
            server.join();
        }
        return 0;
    }
}
