import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's routers, as processes with the command of the deploy file. */
final class Routers implements AutoCloseable {
    /** One router. */
    static final class Router {
        final String name;
        final int callers;
        final int readiness;
        private final Path settings;
        private final Path log;
        private Process process;

        private Router(String name, int callers, int readiness, Path settings, Path log) {
            this.name = name;
            this.callers = callers;
            this.readiness = readiness;
            this.settings = settings;
            this.log = log;
        }

        Process process() {
            return process;
        }
    }

    private static final int MIN_PORT = 15_000;
    private static final int MAX_PORT = 32_000;

    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    private final Path directory;
    private final List<String> command;
    private final List<Router> routers = new ArrayList<>();

    Routers(Path directory) throws IOException {
        this.directory = directory;
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no line that begins with run");
        }
        command = List.of(run.group(1).split(" "));
    }

    List<Router> all() {
        return routers;
    }

    /** Starts a router with settings as the template makes them from the bounds of the site spa-tarifa-grown. */
    Router start(String zone, String store) throws IOException {
        String name = "front-" + zone + "-" + (routers.size() + 1);
        int[] ports = freePorts(4);
        Path settings = directory.resolve(name + ".json");
        Files.writeString(
                settings,
                """
                {
                  "vm": {"name": "%s", "availabilityZone": "%s"},
                  "listen": {
                    "callerAddress": "127.0.0.1:%d",
                    "readinessAddress": "127.0.0.1:%d",
                    "metricsAddress": "127.0.0.1:%d",
                    "peerAddress": "127.0.0.1:%d",
                  },
                  "store": {"address": "%s"},
                  "bounds": {
                    "revocationSeconds": 5000e-3,
                    "graceSeconds": 8,
                    "leaseSeconds": 3000e-3,
                    "weightsSeconds": 20000e-3,
                    "retryRatio": 0.2,
                    "retrySlack": 210,
                    "retryWindowSeconds": 10,
                    "limitWindowSeconds": 8,
                    "limitTolerance": 0.1,
                    "limitSlack": 190000,
                  },
                }
                """
                        .formatted(name, zone, ports[0], ports[1], ports[2], ports[3], store));
        Router router = new Router(name, ports[0], ports[1], settings, directory.resolve(name + ".log"));
        routers.add(router);
        launch(router);
        return router;
    }

    void launch(Router router) throws IOException {
        List<String> words = new ArrayList<>();
        command.forEach(word -> words.add(
                word.equals("/etc/agatelane/settings.conf") ? router.settings.toString() : word));
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(router.log.toFile()));
        router.process = builder.start();
        STARTED.add(router.process);
    }

    /** Kills every process that was started, and waits for its end. */
    static void killAll() {
        STARTED.forEach(Process::destroyForcibly);
        STARTED.forEach(process -> process.onExit().completeOnTimeout(process, 5, TimeUnit.SECONDS).join());
    }

    void kill(Router router) throws InterruptedException {
        router.process.destroyForcibly();
        router.process.waitFor(10, TimeUnit.SECONDS);
    }

    /** Waits until a router says that it is ready. */
    static void awaitReady(Router router, long maxMillis) throws Exception {
        long end = System.nanoTime() + maxMillis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady(router)) {
                return;
            }
            Thread.sleep(20);
        }
        throw new IOException(router.name + " is not ready within " + maxMillis + " ms");
    }

    static boolean isReady(Router router) {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), router.readiness)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
            return Http.readResponse(Http.buffered(socket.getInputStream())).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    // Below the ports that the operating system gives to outgoing connections, which could take them meanwhile.
    private static int[] freePorts(int count) {
        int[] ports = new int[count];
        int found = 0;
        while (found < count) {
            int port = MIN_PORT + ThreadLocalRandom.current().nextInt(MAX_PORT - MIN_PORT);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
                    DatagramSocket udp = new DatagramSocket(port, InetAddress.getByName("127.0.0.1"))) {
                ports[found++] = tcp.getLocalPort();
            } catch (IOException e) {
                // In use.
            }
        }
        return ports;
    }

    @Override
    public void close() throws Exception {
        for (Router router : routers) {
            router.process.destroyForcibly();
        }
        for (Router router : routers) {
            router.process.waitFor(10, TimeUnit.SECONDS);
        }
    }
}
