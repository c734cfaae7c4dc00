import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router: the program of the deploy file as a process of its own, with settings like those of a small deployment. */
final class Router implements AutoCloseable {
    private static final String SETTINGS_OF_THE_DEPLOY_FILE = "/etc/agatelane/settings.conf";

    final String name;
    final int callerPort;
    final int readinessPort;
    private final Path settings;
    private final Path log;
    private Process process;

    Router(Path folder, String name, String zone, String storeAddress) throws IOException {
        this.name = name;
        List<Integer> ports = freePorts();
        callerPort = ports.get(0);
        readinessPort = ports.get(1);
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        // deploy/settings.json.template, filled in with the bounds of abw-aargau.
        Files.writeString(
                settings,
                "{\"vm\":{\"name\":\"" + name + "\",\"availabilityZone\":\"" + zone + "\"},"
                        + "\"listen\":{\"callerAddress\":\"127.0.0.1:" + ports.get(0) + "\","
                        + "\"readinessAddress\":\"127.0.0.1:" + ports.get(1) + "\","
                        + "\"metricsAddress\":\"127.0.0.1:" + ports.get(2) + "\","
                        + "\"peerAddress\":\"127.0.0.1:" + ports.get(3) + "\"},"
                        + "\"store\":{\"address\":\"" + storeAddress + "\"},"
                        + "\"bounds\":{\"revocationSeconds\":5000e-3,\"graceSeconds\":8,\"leaseSeconds\":3000e-3,"
                        + "\"upstreamsCheckFencing\":true,\"weightsSeconds\":15000e-3,\"retryRatio\":0.2,"
                        + "\"retrySlack\":54,\"retryWindowSeconds\":10}}");
    }

    private static List<Integer> freePorts() throws IOException {
        List<AutoCloseable> held = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int i = 0; i < 3; i++) {
            ServerSocket socket = new ServerSocket(0, 1, loopback);
            held.add(socket);
            ports.add(socket.getLocalPort());
        }
        DatagramSocket socket = new DatagramSocket(0, loopback);
        held.add(socket);
        ports.add(socket.getLocalPort());
        for (AutoCloseable closeable : held) {
            try {
                closeable.close();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
        return ports;
    }

    /** Starts the process with the command of the deploy file. */
    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
                .replace(SETTINGS_OF_THE_DEPLOY_FILE, settings.toString());
        process = new ProcessBuilder(command.split(" "))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .redirectInput(new File("/dev/null"))
                .start();
    }

    /** Asks the readiness address as the platform does. */
    boolean isReady() {
        try (Socket socket = new Socket("127.0.0.1", readinessPort)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message response = Http.read(socket.getInputStream(), true);
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws Exception {
        for (int i = 0; i < 200; i++) {
            if (isReady()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(name + " is not ready after 20 s");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    void terminate() {
        process.destroy();
    }

    @Override
    public void close() {
        if (process == null) {
            return;
        }
        try {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
