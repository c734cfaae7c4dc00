package io.agatelane.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.node.cfg.Settings;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Messages and exit codes of serve, fleet, check and version. */
public class CommandLineTest {
    private static final Path EXAMPLE = Path.of("src/main/dist/settings.example.jsonc");
    private static final String VALID = "{\"vm\":{\"name\":\"v\",\"availabilityZone\":\"r-1\",\"region\":\"r\"},"
            + "\"listen\":{\"httpAddress\":\"127.0.0.1:1\",\"rpcAddress\":\"127.0.0.1:2\","
            + "\"peerAddress\":\"127.0.0.1:3\"},\"platform\":{\"url\":\"http://127.0.0.1:4\"}}";

    // The number formats are those of the deployment template.
    private static final String VALID_FLEET = "{\"vm\":{\"name\":\"v\",\"availabilityZone\":\"z\"},"
            + "\"listen\":{\"callerAddress\":\"127.0.0.1:1\",\"readinessAddress\":\"127.0.0.1:2\","
            + "\"metricsAddress\":\"127.0.0.1:3\",\"peerAddress\":\"127.0.0.1:4\"},"
            + "\"store\":{\"address\":\"127.0.0.1:5\"},"
            + "\"bounds\":{\"revocationSeconds\":5000e-3,\"upstreamsCheckFencing\":true,\"retryRatio\":0.2}}";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<Settings> launched = new ArrayList<>();
    private Path file;

    @BeforeClass
    public void createFile() throws IOException {
        file = Files.createTempFile("settings", ".jsonc");
    }

    @AfterClass
    public void deleteFile() throws IOException {
        Files.delete(file);
    }

    @DataProvider
    public Object[][] helpArguments() {
        return new Object[][] {
            {"--help"},
            {"serve --help"},
            {"fleet --help"},
            {"check --help"},
            {"version --help"},
            {"ctl --help"},
            {"ctl get --help"},
            {"ctl list --help"},
            {"ctl apply --help"},
            {"ctl delete --help"},
            {"ctl status --help"},
            {"ctl explain --help"},
            {"ctl drain --help"},
            {"ctl undrain --help"},
        };
    }

    /** Guards against a command without usage, or one whose usage needs its required arguments. */
    @Test(dataProvider = "helpArguments")
    public void eachCommandShowsItsUsage(String arguments) {
        assertEquals(run(arguments.split(" ")), ExitCode.DONE, err());
        assertTrue(out().startsWith("Usage: "), out());
        assertTrue(out().contains("Exit codes: 0 done, 1 failed, 2 bad usage"), out());
    }

    @DataProvider
    public Object[][] badUsages() {
        return new Object[][] {
            {"", "expected a command: serve, fleet, check, ctl or version"},
            {"start", "Expected a command, got start"},
            {"serve", "The following option is required: [--settings]"},
            {"fleet", "The following option is required: [--settings]"},
            {"check --settings", "Expected a value after parameter --settings"},
            {"ctl --rpc 127.0.0.1:1", "expected a command: get, list, apply, delete, status"},
            {"ctl status", "--rpc: expected IP:PORT of a router"},
            {"ctl --rpc localhost:1 status", "--rpc: expected IP:PORT, found localhost:1"},
            {"ctl --rpc 127.0.0.1:1 --format xml status", "--format: expected table or json, found xml"},
            {"ctl --rpc 127.0.0.1:1 get model", "expected 2 arguments, found [model]"},
            {"ctl --rpc 127.0.0.1:1 list engines", "expected a kind: client-account, model,"},
            {"ctl --rpc 127.0.0.1:1 apply -f /nonexistent", "/nonexistent: expected a readable file"},
        };
    }

    /** Guards against invalid arguments that are ignored or reported with the wrong exit code. */
    @Test(dataProvider = "badUsages")
    public void badUsageIsExplained(String arguments, String message) {
        assertEquals(run(arguments.isEmpty() ? new String[0] : arguments.split(" ")), ExitCode.BAD_USAGE);
        assertTrue(err().contains(message), err());
        assertEquals(out(), "");
    }

    /** Guards against an example settings file that the program refuses. */
    @Test
    public void exampleIsValid() {
        assertEquals(run("check", "--settings", EXAMPLE.toString()), ExitCode.DONE, err());
        assertEquals(out(), EXAMPLE + ": valid settings of VM entry-1\n");
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {VALID, List.of()},
            {"[]", List.of("/: expected an object")},
            {"{", List.of("/: expected JSON at line 1, column 2: Unexpected end-of-input")},
            {"{\"vm\":{},\"vm\":{}}", List.of("/: expected JSON at line 1, column 14: Duplicate field 'vm'")},
            {VALID + "{}", List.of("/: expected JSON at line")},
            {
                VALID.replace("\"v\"", "7").replace("r-1", "a b").replace("127.0.0.1:1", "localhost:1"),
                List.of(
                        "/vm/name: expected a string, found the number 7",
                        "/vm/availabilityZone: expected 1 to 63 of",
                        "/listen/httpAddress: expected IP:PORT, found \"localhost:1\"")
            },
            {
                VALID.replace("127.0.0.1:2", "127.0.0.1:1").replace("127.0.0.1:3", "0.0.0.0:1"),
                List.of(
                        "/listen/rpcAddress: expected an address that httpAddress does not use",
                        "/listen/peerAddress: expected an address that httpAddress does not use")
            },
            {
                VALID.replace("127.0.0.1:4\"", "127.0.0.1:4/x\",\"timeoutMillis\":0,\"maxCalls\":1"),
                List.of(
                        "/platform/url: expected http://HOST:PORT without a path, found \"http://127.0.0.1:4/x\"",
                        "/platform/timeoutMillis: expected 10 to 600000, found 0",
                        "/platform/maxCalls: unknown field, expected one of [maxCallsPerSecond, timeoutMillis, url]")
            },
            {
                VALID.replace(
                        "{\"vm\"",
                        "{\"seeds\":[\"127.0.0.1:5\",\"127.0.0.1:5\",5],\"limits\":{\"maxAnswerBytes\":\"1\"},"
                                + "\"shutdown\":[],\"randomSeed\":1.5,\"vm\""),
                List.of(
                        "/shutdown: expected an object, found an array",
                        "/seeds/1: expected each address only once",
                        "/seeds/2: expected IP:PORT as a string, found the number 5",
                        "/limits/maxAnswerBytes: expected an integer, found a string",
                        "/randomSeed: expected an integer, found the number 1.5")
            },
            {
                "{}",
                List.of(
                        "/vm/name: missing, expected a string",
                        "/vm/availabilityZone: missing",
                        "/vm/region: missing",
                        "/listen/httpAddress: missing",
                        "/listen/rpcAddress: missing",
                        "/listen/peerAddress: missing",
                        "/platform/url: missing")
            },
        };
    }

    /** Guards against a router that starts with wrong settings, and against errors that are reported one per run. */
    @Test(dataProvider = "faults")
    public void allFaultsOfTheSettingsAreReportedAtOnce(String json, List<String> expected) throws IOException {
        Files.writeString(file, json);
        ExitCode code = run("check", "--settings", file.toString());
        List<String> lines = err().lines().toList();
        assertEquals(code, expected.isEmpty() ? ExitCode.DONE : ExitCode.BAD_USAGE);
        assertEquals(lines.size(), expected.size(), err());
        for (int i = 0; i < lines.size(); i++) {
            assertTrue(lines.get(i).startsWith(file + ": " + expected.get(i)), lines.get(i));
        }
        assertEquals(run("serve", "--settings", file.toString()), code);
        assertEquals(launched.size(), expected.isEmpty() ? 1 : 0);
    }

    @DataProvider
    public Object[][] fleetFaults() {
        return new Object[][] {
            {VALID_FLEET, List.of()},
            {
                VALID_FLEET
                        .replace("\"127.0.0.1:5\"", "\"store\"")
                        .replace("5000e-3", "\"5\"")
                        .replace("0.2", "7"),
                List.of(
                        "/store/address: expected IP:PORT",
                        "/bounds/revocationSeconds: expected a number from 0.0 to 600.0, found a string",
                        "/bounds/retryRatio: expected a number from 0.0 to 1.0")
            },
            {
                VALID_FLEET.replace("true", "\"yes\"").replace("\"vm\"", "\"extra\":1,\"vm\""),
                List.of(
                        "/bounds/upstreamsCheckFencing: expected true or false, found a string",
                        "/extra: unknown field")
            },
        };
    }

    /** Guards against a fleet router that starts with wrong settings, and against errors that are reported one per run. */
    @Test(dataProvider = "fleetFaults")
    public void allFaultsOfFleetSettingsAreReportedAtOnce(String json, List<String> expected) throws IOException {
        Files.writeString(file, json);
        ExitCode code = run("check", "--fleet", "--settings", file.toString());
        List<String> lines = err().lines().toList();
        assertEquals(code, expected.isEmpty() ? ExitCode.DONE : ExitCode.BAD_USAGE, err());
        assertEquals(lines.size(), expected.size(), err());
        for (int i = 0; i < lines.size(); i++) {
            assertTrue(lines.get(i).startsWith(file + ": " + expected.get(i)), lines.get(i));
        }
        if (!expected.isEmpty()) {
            assertEquals(run("fleet", "--settings", file.toString()), ExitCode.BAD_USAGE);
        }
    }

    /** Guards against a failed start that looks like a success. */
    @Test
    public void failedStartHasItsOwnExitCode() {
        CommandLine commandLine = new CommandLine(stream(out), stream(err), settings -> {
            throw new AgatelaneException(FailureType.INTERNAL, "no port");
        });
        assertEquals(commandLine.run("serve", "--settings", EXAMPLE.toString()), ExitCode.FAILED);
    }

    /** Guards against a build whose version is not filled in. */
    @Test
    public void versionIsFilledIn() {
        assertEquals(run("version"), ExitCode.DONE);
        assertTrue(out().matches("agatelane \\d+\\.\\d+\\.\\d+\\n"), out());
    }

    private ExitCode run(String... arguments) {
        out.reset();
        err.reset();
        launched.clear();
        return new CommandLine(stream(out), stream(err), launched::add).run(arguments);
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
