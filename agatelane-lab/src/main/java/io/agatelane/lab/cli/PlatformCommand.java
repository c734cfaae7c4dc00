package io.agatelane.lab.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.agatelane.lab.http.LabServer;
import io.agatelane.lab.platform.PlatformServer;

/** Runs the stand-in for the platform's key-value service. */
@Parameters(commandNames = "platform", commandDescription = "Runs a stand-in of the platform's key-value service.")
public final class PlatformCommand implements Command {
    @Parameter(names = "--http", required = true, description = "IP:PORT to listen on; port 0 takes a free one")
    private String http;

    @Override
    public int run() throws Exception {
        try (PlatformServer server = new PlatformServer(LabServer.parseAddress(http)).start()) {
            System.out.println("listening " + server.url());
            server.join();
        }
        return 0;
    }
}
