package io.agatelane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Arguments of the commands. */
final class Options {
    private Options() {}

    /** Accepted by each command. */
    static class Common {
        @Parameter(names = "--help", help = true, description = "Show the usage of the command")
        boolean help;
    }

    @Parameters(commandDescription = "Run a router until it is told to stop")
    static final class Serve extends Common {
        @Parameter(names = "--settings", required = true, description = "Settings file")
        String settings;
    }

    @Parameters(commandDescription = "Run a router of a deployment that its operator configures through the store")
    static final class Fleet extends Common {
        @Parameter(names = "--settings", required = true, description = "Settings file")
        String settings;
    }

    @Parameters(commandDescription = "Check a settings file and start nothing")
    static final class Check extends Common {
        @Parameter(names = "--settings", required = true, description = "Settings file")
        String settings;

        @Parameter(names = "--fleet", description = "The file is for the command fleet")
        boolean fleet;
    }

    @Parameters(commandDescription = "Show the version")
    static final class Version extends Common {}

    @Parameters(commandDescription = "Operate running routers")
    static final class Ctl extends Common {
        @Parameter(names = "--rpc", description = "IP:PORT where a router listens for operators")
        String rpc;

        @Parameter(names = "--format", description = "Output: table or json")
        String format = "table";

        @Parameter(names = "--timeout-millis", description = "Longest wait for a response, besides --wait-millis")
        int timeoutMillis = 15_000;
    }

    @Parameters(commandDescription = "Show one object: get KIND NAME")
    static final class Get extends Common {
        @Parameter(description = "KIND NAME", required = true)
        List<String> arguments = new ArrayList<>();
    }

    @Parameters(commandDescription = "Show all objects of a kind: list KIND")
    static final class ListObjects extends Common {
        @Parameter(description = "KIND", required = true)
        List<String> arguments = new ArrayList<>();
    }

    /** Accepted by commands that change the configuration. */
    static class Change extends Common {
        @Parameter(
                names = "--expected-version",
                description = "Version that the object must have; 0: it must not exist; -1: any version")
        Long expectedVersion;

        @Parameter(
                names = "--change-id",
                description = "Identity of the change; a repeat with the same identity is not applied again")
        String changeId;

        @Parameter(
                names = "--wait-millis",
                description = "Longest wait for the change to be in force on all live routers; 0 does not wait")
        int waitMillis = 8_000;
    }

    @Parameters(
            commandDescription = "Create or replace the objects of a JSON file. The version in an object is expected"
                    + " unless --expected-version is given; an object without a version replaces any")
    static final class Apply extends Change {
        @Parameter(
                names = {"-f", "--file"},
                required = true,
                description = "JSON file with one object or an array; - reads standard input")
        String file;
    }

    @Parameters(commandDescription = "Delete an object: delete KIND NAME")
    static final class Delete extends Change {
        @Parameter(description = "KIND NAME", required = true)
        List<String> arguments = new ArrayList<>();
    }

    @Parameters(commandDescription = "Show the routers and the upstreams")
    static final class Status extends Common {}

    @Parameters(commandDescription = "Show where a chat-completions request would be sent, without sending it")
    static final class Explain extends Common {
        @Parameter(names = "--account", required = true, description = "Client account")
        String account;

        @Parameter(
                names = {"-f", "--file"},
                required = true,
                description = "JSON file with the request's body; - reads standard input")
        String file;
    }

    @Parameters(commandDescription = "Send no new work to an upstream: drain UPSTREAM")
    static final class Drain extends Common {
        @Parameter(description = "UPSTREAM", required = true)
        List<String> arguments = new ArrayList<>();

        @Parameter(names = "--change-id", description = "Identity of the change")
        String changeId;
    }

    @Parameters(commandDescription = "Send work to an upstream again: undrain UPSTREAM")
    static final class Undrain extends Common {
        @Parameter(description = "UPSTREAM", required = true)
        List<String> arguments = new ArrayList<>();

        @Parameter(names = "--change-id", description = "Identity of the change")
        String changeId;
    }
}
