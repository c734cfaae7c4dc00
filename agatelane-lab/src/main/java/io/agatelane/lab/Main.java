package io.agatelane.lab;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.agatelane.lab.cli.CapacityCommand;
import io.agatelane.lab.cli.Command;
import io.agatelane.lab.cli.DemoCommand;
import io.agatelane.lab.cli.EngineCommand;
import io.agatelane.lab.cli.ExperimentCommand;
import io.agatelane.lab.cli.LoadCommand;
import io.agatelane.lab.cli.LogSetup;
import io.agatelane.lab.cli.PlatformCommand;
import io.agatelane.lab.cli.ServiceCommand;
import io.agatelane.lab.http.BadRequestException;
import java.util.List;

/** Entry point of the lab program. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs one command and exits. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        LogSetup.configureFormat();
        JCommander parser = JCommander.newBuilder().programName("agatelane-lab").build();
        List<Command> commands = List.of(
                new PlatformCommand(),
                new EngineCommand(),
                new ServiceCommand(),
                new LoadCommand(),
                new ExperimentCommand(),
                new CapacityCommand(),
                new DemoCommand());
        commands.forEach(parser::addCommand);
        try {
            parser.parse(args);
            if (parser.getParsedCommand() == null) {
                parser.usage();
                return EXIT_USAGE;
            }
            Object parsed = parser.getCommands()
                    .get(parser.getParsedCommand())
                    .getObjects()
                    .get(0);
            return ((Command) parsed).run();
        } catch (ParameterException | BadRequestException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return EXIT_USAGE;
        } catch (Exception e) {
            System.err.println("failed: " + e);
            return 1;
        }
    }
}
