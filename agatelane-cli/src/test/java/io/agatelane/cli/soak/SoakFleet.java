package io.agatelane.cli.soak;

import io.agatelane.cli.Main;
import io.agatelane.cli.soak.ChildProcess.Signal;
import io.agatelane.platform.FreeAddresses;
import io.agatelane.platform.StoreProcess;
import io.agatelane.platform.UpstreamProcess;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** The processes of a soak: a store, upstreams and routers, with a proxy in front of whatever a router connects to. */
final class SoakFleet implements AutoCloseable {
    /** Time within which a revoked key may be accepted. */
    static final long REVOCATION_MILLIS = 3_000;

    private static final int ADDRESSES_PER_ROUTER = 4;
    private static final int ROUTE_TIMEOUT_MILLIS = 2_500;
    /** Time between SIGTERM and SIGKILL. */
    static final int GRACE_SECONDS = 6;

    private static final String RUN = "run ";
    private static final String DONE = "done";

    private final Path directory;
    private final ChildProcess store;
    private final InetSocketAddress storeAddress;
    private final Queue<Runnable> unconfirmed = new ArrayDeque<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final List<Router> routers = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final int routeTimeoutMillis;
    private int upstreamCount;

    /** A router, its proxy to the store, and the process that runs it at the moment. */
    static final class Router {
        private final String name;
        private final InetSocketAddress callers;
        private final Path settings;
        private final FaultProxy storeProxy;
        private ChildProcess process;
        private volatile int kills;

        private Router(String name, InetSocketAddress callers, Path settings, FaultProxy storeProxy) {
            this.name = name;
            this.callers = callers;
            this.settings = settings;
            this.storeProxy = storeProxy;
        }

        String name() {
            return name;
        }

        InetSocketAddress callers() {
            return callers;
        }

        FaultProxy storeProxy() {
            return storeProxy;
        }

        boolean isRunning() {
            return process.isAlive();
        }

        /** Largest memory that the process has used, in KB. */
        long peakMemoryKilobytes() throws IOException {
            return process.peakMemoryKilobytes();
        }

        /** How often the process was killed; a request whose router was killed need not have a response. */
        int kills() {
            return kills;
        }
    }

    /** An upstream and the proxy that its entry names. */
    record Upstream(String id, ChildProcess process, FaultProxy proxy) {}

    SoakFleet(Path directory) throws Exception {
        this(directory, ROUTE_TIMEOUT_MILLIS);
    }

    SoakFleet(Path directory, int routeTimeoutMillis) throws Exception {
        this.directory = directory;
        this.routeTimeoutMillis = routeTimeoutMillis;
        store = new ChildProcess(StoreProcess.class, List.of(), this::storeOutput, log("store"));
        storeAddress = parse(store.awaitReady());
    }

    /** Starts a router. */
    void addRouter() throws Exception {
        addRouter("z");
    }

    /** Starts a router in an availability zone. */
    void addRouter(String zone) throws Exception {
        String name = "vm-" + (routers.size() + 1);
        List<InetSocketAddress> addresses = FreeAddresses.find(ADDRESSES_PER_ROUTER);
        FaultProxy proxy = new FaultProxy(storeAddress);
        Path settings = directory.resolve(name + ".json");
        Files.writeString(
                settings,
                """
                {
                  "vm": {"name": "%s", "availabilityZone": "%s"},
                  "listen": {"callerAddress": "%s", "readinessAddress": "%s", "metricsAddress": "%s", "peerAddress": "%s"},
                  "store": {"address": "%s", "timeoutMillis": 500, "pollMillis": 200},
                  "bounds": {"revocationSeconds": %s, "graceSeconds": %s, "leaseSeconds": 2,
                    "retryRatio": 0.2, "retrySlack": 400, "retryWindowSeconds": 10},
                }
                """
                        .formatted(
                                name,
                                zone,
                                format(addresses.get(0)),
                                format(addresses.get(1)),
                                format(addresses.get(2)),
                                format(addresses.get(3)),
                                proxy.address(),
                                REVOCATION_MILLIS / 1_000.0,
                                GRACE_SECONDS));
        Router router = new Router(name, addresses.get(0), settings, proxy);
        routers.add(router);
        start(router);
    }

    /** Starts a process for a router that has none. */
    void start(Router router) throws IOException {
        Path log = log(router.name());
        router.process = new ChildProcess(
                Main.class, List.of("fleet", "--settings", router.settings.toString()), line -> append(log, line), log);
    }

    /** Kills a router's process; the router has none until it is started. */
    void kill(Router router) throws Exception {
        router.kills++;
        router.process.close();
    }

    /** Stops a router's process as for a planned stop, and waits for its end. */
    void stop(Router router) throws Exception {
        router.process.send(Signal.TERM);
        router.process.awaitEnd();
    }

    /** Ends a router's process if it has not ended within the grace period; returns its exit code. */
    int endAfterGrace(Router router) throws Exception {
        if (!router.process.awaitEnd(TimeUnit.SECONDS.toMillis(GRACE_SECONDS))) {
            router.process.send(Signal.KILL);
        }
        return router.process.awaitEnd();
    }

    /** Changes a bound of a router's settings file, which it reads again at SIGHUP. */
    void changeSettings(Router router) throws IOException {
        Files.writeString(
                router.settings,
                Files.readString(router.settings).replace("\"retrySlack\": 400", "\"retrySlack\": 300"));
    }

    void signal(Router router, Signal signal) throws IOException, InterruptedException {
        router.process.send(signal);
    }

    /** Starts an upstream with an id that was not used before. */
    Upstream addUpstream() throws Exception {
        String id = "i-" + ++upstreamCount;
        ChildProcess process = new ChildProcess(UpstreamProcess.class, List.of(), this::upstreamOutput, log(id));
        FaultProxy proxy = new FaultProxy(parse(process.awaitReady()));
        Upstream upstream = new Upstream(id, process, proxy);
        upstreams.add(upstream);
        addEntry(id, proxy.address());
        return upstream;
    }

    /** Adds the entry of an upstream. */
    void addEntry(String id, String address) {
        writeStore(
                "put servers/" + id + " {\"service\":\"x\",\"address\":\"" + address
                        + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,"
                        + "\"sequence\":1,\"born\":" + upstreamCount + "}",
                () -> {});
    }

    /** Kills an upstream and removes its entry. */
    void removeUpstream(Upstream upstream) throws Exception {
        upstream.process().close();
        upstream.proxy().close();
        upstreams.remove(upstream);
        writeStore("remove servers/" + upstream.id(), () -> {});
    }

    /**
     * Writes a configuration whose only route with a number is that of its version.
     *
     * @param onWritten called once the store has it
     */
    void configure(int version, List<String> keys, Runnable onWritten) {
        String quoted = keys.stream().map(key -> '"' + key + '"').collect(Collectors.joining(","));
        writeStore(
                "put op/config {\"version\":" + version + ",\"routes\":["
                        + route("once", "unsafe", 1, false) + ',' + route("again", "safe", 2, false) + ','
                        + route("stream", "streaming", 2, true) + ',' + route("only-" + version, "safe", 2, false)
                        + "],\"services\":[{\"name\":\"x\",\"connectionLimit\":100}],\"limits\":{\"bodyBytes\":4194304},"
                        + "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[" + quoted + "]}]}",
                onWritten);
    }

    private String route(String name, String kind, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + routeTimeoutMillis
                + ",\"targetLatencyMs\":200,\"priority\":0,\"service\":\"x\",\"attempts\":" + attempts
                + ",\"public\":false,\"resumable\":" + resumable + "}";
    }

    /** Sends a command to the store; {@code onDone} is called when it has been executed. */
    void writeStore(String command, Runnable onDone) {
        synchronized (unconfirmed) {
            unconfirmed.add(onDone);
            store.command(command);
        }
    }

    private void storeOutput(String line) {
        if (line.equals(DONE)) {
            synchronized (unconfirmed) {
                unconfirmed.remove().run();
            }
        }
    }

    private void upstreamOutput(String line) {
        if (line.startsWith(RUN)) {
            runs.merge(line.substring(RUN.length()), 1, Integer::sum);
        }
    }

    ChildProcess store() {
        return store;
    }

    List<Router> routers() {
        return routers;
    }

    List<Upstream> upstreams() {
        return upstreams;
    }

    /** How often each path was run; complete only after {@link #close}. */
    Map<String, Integer> runs() {
        return runs;
    }

    private Path log(String name) {
        return directory.resolve(name + ".log");
    }

    private static synchronized void append(Path file, String line) {
        try {
            Files.writeString(
                    file, line + "\n", StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    @Override
    public void close() throws Exception {
        for (Router router : routers) {
            router.process.close();
            router.storeProxy().close();
        }
        for (Upstream upstream : upstreams) {
            upstream.process().close();
            upstream.proxy().close();
        }
        store.close();
    }
}
