package io.agatelane.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.cfg.FleetSettingsReader;
import io.agatelane.node.cfg.Settings;
import io.agatelane.node.cfg.SettingsReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.Properties;

/** Parses the arguments and runs the command. */
public final class CommandLine {
    private static final String PROGRAM = "agatelane";
    private static final String EXIT_CODES =
            "Exit codes: 0 done, 1 failed, 2 bad usage or settings, 3 conflict, 4 router not reachable";

    private final PrintStream out;
    private final PrintStream err;
    private final RouterLauncher launcher;
    private final Options.Common top = new Options.Common();
    private final Options.Serve serve = new Options.Serve();
    private final Options.Fleet fleet = new Options.Fleet();
    private final Options.Check check = new Options.Check();
    private final Options.Version version = new Options.Version();
    private final CtlCommands ctl = new CtlCommands();
    private final JCommander parser;

    /** Creates the parser. Results are printed to {@code out}, error messages to {@code err}. */
    public CommandLine(PrintStream out, PrintStream err, RouterLauncher launcher) {
        this.out = out;
        this.err = err;
        this.launcher = launcher;
        this.parser = JCommander.newBuilder()
                .programName(PROGRAM)
                .addObject(top)
                .addCommand("serve", serve)
                .addCommand("fleet", fleet)
                .addCommand("check", check)
                .addCommand("ctl", ctl.options())
                .addCommand("version", version)
                .build();
        ctl.addTo(parser.getCommands().get("ctl"));
    }

    /** Runs the command of the arguments. */
    public ExitCode run(String... args) {
        try {
            parser.parse(args);
            return dispatch();
        } catch (ParameterException e) {
            err.println(e.getMessage());
            err.println("Run " + PROGRAM + " --help for the usage.");
            return ExitCode.BAD_USAGE;
        } catch (CliException e) {
            err.println(e.getMessage());
            return e.exitCode();
        } catch (AgatelaneException e) {
            err.println(e.getMessage());
            return e.type() == FailureType.INVALID_SETTINGS ? ExitCode.BAD_USAGE : ExitCode.FAILED;
        }
    }

    private ExitCode dispatch() {
        String command = parser.getParsedCommand();
        if (top.help) {
            usage(parser);
            return ExitCode.DONE;
        }
        if (command == null) {
            throw new ParameterException("expected a command: serve, fleet, check, ctl or version");
        }
        JCommander commandParser = parser.getCommands().get(command);
        Map<String, Options.Common> options =
                Map.of("serve", serve, "fleet", fleet, "check", check, "version", version);
        if (options.containsKey(command) && options.get(command).help) {
            usage(commandParser);
            return ExitCode.DONE;
        }
        return switch (command) {
            case "serve" -> {
                launcher.run(SettingsReader.read(Path.of(serve.settings)));
                yield ExitCode.DONE;
            }
            case "fleet" -> {
                FleetProcess.run(Path.of(fleet.settings));
                yield ExitCode.DONE;
            }
            case "check" -> check();
            case "version" -> {
                out.println(PROGRAM + " " + versionText());
                yield ExitCode.DONE;
            }
            default -> ctl.run(commandParser, out, this::usage);
        };
    }

    private ExitCode check() {
        if (check.fleet) {
            out.println(check.settings + ": valid settings of VM "
                    + FleetSettingsReader.read(Path.of(check.settings)).vmName());
            return ExitCode.DONE;
        }
        Settings settings = SettingsReader.read(Path.of(check.settings));
        out.println(check.settings + ": valid settings of VM " + settings.vmName());
        return ExitCode.DONE;
    }

    private void usage(JCommander command) {
        StringBuilder text = new StringBuilder();
        command.getUsageFormatter().usage(text);
        out.print(text);
        out.println(EXIT_CODES);
    }

    private static String versionText() {
        try (InputStream in = CommandLine.class.getResourceAsStream("version.properties")) {
            Properties properties = new Properties();
            if (in != null) {
                properties.load(in);
            }
            return properties.getProperty("version", "unknown");
        } catch (IOException e) {
            throw new AgatelaneException(FailureType.INTERNAL, "the version cannot be read", e);
        }
    }
}
