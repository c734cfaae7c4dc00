import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router, started as the deploy file says, with the bounds of quetzal-lentes-grown. */
final class Router implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final String name;
    final String callers;
    private final String readiness;
    private final Path settings;
    private final Path log;
    private final int[] ports = ports(3);
    private final int storePort;
    private Process process;

    Router(String name, Path folder, int storePort, int graceSeconds) throws Exception {
        this.name = name;
        this.storePort = storePort;
        callers = "127.0.0.1:" + ports[0];
        readiness = "127.0.0.1:" + ports[1];
        settings = folder.resolve(name + ".conf");
        log = folder.resolve(name + ".log");
        writeSettings(graceSeconds);
        start();
    }

    /** Writes the settings file, as the platform does at every start and whenever the settings change. */
    void writeSettings(int graceSeconds) throws IOException {
        Path next = settings.resolveSibling(name + ".new");
        Files.writeString(next, """
                {
                  "vm": {"name": "%s", "availabilityZone": "zone-a"},
                  "listen": {
                    "callerAddress": "%s",
                    "readinessAddress": "%s",
                    "metricsAddress": "127.0.0.1:%d",
                    "peerAddress": "127.0.0.1:%d",
                  },
                  "store": {"address": "127.0.0.1:%d"},
                  "bounds": {
                    "revocationSeconds": 5000e-3,
                    "graceSeconds": %d,
                    "leaseSeconds": 3000e-3,
                    "weightsSeconds": 20000e-3,
                    "retryRatio": 0.2,
                    "retrySlack": 208,
                    "retryWindowSeconds": 10,
                  },
                }
                """.formatted(name, callers, readiness, ports[2], ports[2], storePort, graceSeconds));
        Files.move(next, settings, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    // Below the ports that the system gives to connections, so that none of them takes a port before the router does.
    private static int[] ports(int count) {
        int[] ports = new int[count];
        for (int found = 0; found < count; ) {
            int port = 15_000 + ThreadLocalRandom.current().nextInt(15_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                ports[found++] = socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use.
                continue;
            }
        }
        return ports;
    }

    void start() throws IOException {
        Path root = Path.of("").toAbsolutePath();
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        List<String> command = new ArrayList<>();
        for (String word : run.group(1).split(" ")) {
            command.add(word.equals("/etc/agatelane/settings.conf") ? settings.toString() : word);
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    boolean isReady() {
        try (Client client = new Client(readiness, 1_000)) {
            return client.call("GET", "/api/ready", "router", "", new byte[0]).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() {
        long end = System.nanoTime() + 30_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(name + " is not ready after 30 s" + lastLines());
            }
            Worker.sleep(50);
        }
    }

    private String lastLines() {
        try {
            List<String> lines = log().lines().toList();
            return (isAlive() ? "" : ", it has ended") + ": "
                    + lines.subList(Math.max(0, lines.size() - 5), lines.size());
        } catch (IOException e) {
            return "";
        }
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }
}
