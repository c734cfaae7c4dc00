package io.agatelane.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Runs the {@code ctl} commands against the gRPC port of a router. */
public class CtlTest {
    private static final String OBJECTS =
            """
            [
              // An array is applied in order, so that an object can refer to an earlier one.
              {"name": "m", "model": {"weightsVersion": "w1", "max_context_tokens": 1000, "defaultMaxTokens": "10"}},
              {"name": "e", "upstream": {"baseUrl": "http://127.0.0.1:9", "availabilityZone": "z-1",
                "models": ["m"], "slots": 4, "checksFencing": true}}
            ]
            """;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private TestRouter router;
    private Path file;

    @BeforeMethod
    public void setUp() throws Exception {
        router = new TestRouter();
        file = Files.createTempFile("objects", ".json");
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        router.close();
        Files.delete(file);
    }

    /** Guards against a JSON mapping that loses fields, and against an output that cannot be applied again. */
    @Test
    public void appliesListsChangesAndDeletesObjects() throws IOException {
        Files.writeString(file, OBJECTS);
        assertEquals(ctl("apply", "-f", file.toString()), ExitCode.DONE, err());
        assertEquals(ctl("list", "upstreams"), ExitCode.DONE, err());
        assertEquals(
                out().lines().map(String::strip).toList(),
                List.of(
                        "NAME  VERSION  BASE_URL            AVAILABILITY_ZONE  MODELS  SERVICE  SLOTS"
                                + "  CHECKS_FENCING  DRAINING",
                        "e     2        http://127.0.0.1:9  z-1                m       -        4"
                                + "      true            false"));
        assertEquals(ctl("drain", "e"), ExitCode.DONE, err());
        assertEquals(ctl("--format", "json", "get", "upstream", "e"), ExitCode.DONE, err());
        assertTrue(out().contains("\"version\" : \"3\""), out());
        assertTrue(out().contains("\"draining\" : true"), out());
        Files.writeString(file, out().replace("\"slots\" : 4", "\"slots\" : 5"));
        assertEquals(ctl("apply", "-f", file.toString()), ExitCode.DONE, err());
        assertEquals(ctl("apply", "-f", file.toString()), ExitCode.CONFLICT);
        assertEquals(err(), "conflict: UPSTREAM e has version 4, expected version 3\n");
        assertEquals(ctl("delete", "model", "m"), ExitCode.FAILED);
        assertEquals(err(), "/upstream/e: model/m is still referred to by upstream/e\n");
        assertEquals(ctl("delete", "upstream", "e", "--expected-version", "4"), ExitCode.DONE, err());
        assertEquals(ctl("get", "upstream", "e"), ExitCode.FAILED);
        assertEquals(err(), "upstream/e does not exist\n");
    }

    /** Guards against a repeated change that is applied twice. */
    @Test
    public void repeatWithTheSameIdentityReturnsTheFirstResult() throws IOException {
        Files.writeString(file, OBJECTS);
        assertEquals(ctl("apply", "-f", file.toString(), "--change-id", "x"), ExitCode.DONE, err());
        String first = out();
        assertEquals(ctl("apply", "-f", file.toString(), "--change-id", "x"), ExitCode.DONE, err());
        assertEquals(out(), first);
        assertTrue(out().contains("2         true"), out());
    }

    /** Guards against a faulty file that is partly sent, and against an error without the position of the fault. */
    @Test
    public void faultsOfAFileAreReportedBeforeAnythingIsSent() throws IOException {
        Files.writeString(file, OBJECTS.replace("\"slots\": 4", "\"slots\": 4.5"));
        assertEquals(ctl("apply", "-f", file.toString()), ExitCode.BAD_USAGE);
        assertEquals(err(), file + ": /1/upstream/slots: expected an integer from -2147483648 to 2147483647\n");
        Files.writeString(file, "{\"name\": \"p\", \"routing_policy\": {\"deadline\": 1}}");
        assertEquals(ctl("apply", "-f", file.toString()), ExitCode.BAD_USAGE);
        assertTrue(err().contains("/routing_policy/deadline: unknown field, expected one of [firstToken"), err());
        Files.writeString(file, "{\"name\": \"p\", \"model\": {}, \"service\": {}}");
        assertEquals(ctl("apply", "-f", file.toString()), ExitCode.BAD_USAGE);
        assertTrue(err().contains("/service: expected only one of the object's specs"), err());
        assertEquals(ctl("list", "model"), ExitCode.DONE);
        assertEquals(out(), "(none)\n");
        Files.writeString(file, OBJECTS.replace("\"m\"]", "\"n\"]"));
        assertEquals(ctl("apply", "-f", file.toString()), ExitCode.FAILED);
        assertTrue(err().startsWith("/upstream/models/0: upstream/e is not valid"), err());
    }

    /** Guards against a platform outage that is reported like an unreachable router. */
    @Test
    public void outageAndUnreachableRouterHaveDifferentExitCodes() throws IOException {
        router.setOutage(true);
        assertEquals(ctl("drain", "e", "--change-id", "x"), ExitCode.FAILED);
        assertTrue(err().contains("the platform is unreachable; to repeat the same change, use --change-id x"), err());
        assertEquals(ctl("status"), ExitCode.DONE);
        assertTrue(out().startsWith("revision 0, platform not reachable\n"), out());
        assertTrue(out().contains("entry-1  zone-a"), out());
        int closedPort;
        try (ServerSocket socket = new ServerSocket(0)) {
            closedPort = socket.getLocalPort();
        }
        assertEquals(run(List.of("ctl", "--rpc", "127.0.0.1:" + closedPort, "status")), ExitCode.NOT_REACHABLE);
        assertEquals(err().lines().count(), 1, err());
    }

    /** Guards against an explanation without the chosen upstream or the scores of the candidates. */
    @Test
    public void explainsADecision() throws IOException {
        Files.writeString(file, "{}");
        assertEquals(ctl("explain", "--account", "aargau", "-f", file.toString()), ExitCode.DONE, err());
        assertTrue(out().startsWith("chosen e1\n"), out());
        assertTrue(out().contains("12.3"), out());
        assertEquals(ctl("explain", "--account", "x", "-f", file.toString()), ExitCode.FAILED);
        assertEquals(err(), "/client_account: no such account\n");
    }

    /** Guards against an operators' port that serves only gRPC and no plain HTTP. */
    @Test
    public void plainHttpIsServedOnTheSamePort() throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        assertEquals(get(client, "/health/live").body(), "live");
        assertEquals(get(client, "/nothing").statusCode(), 404);
    }

    private HttpResponse<String> get(HttpClient client, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + router.rpc() + path))
                .version(HttpClient.Version.HTTP_1_1)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private ExitCode ctl(String... arguments) {
        List<String> all = new ArrayList<>(List.of("ctl", "--rpc", router.rpc()));
        all.addAll(List.of(arguments));
        return run(all);
    }

    private ExitCode run(List<String> arguments) {
        out.reset();
        err.reset();
        return new CommandLine(stream(out), stream(err), settings -> {}).run(arguments.toArray(new String[0]));
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
