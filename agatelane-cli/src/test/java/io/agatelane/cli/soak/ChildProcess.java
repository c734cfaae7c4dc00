package io.agatelane.cli.soak;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A Java program that was started by the soak, with the class path of the soak. */
final class ChildProcess implements AutoCloseable {
    private static final int WAIT_SECONDS = 60;
    private static final String READY = "ready ";

    /** Signals that the soak sends. */
    enum Signal {
        STOP,
        CONT,
        HUP,
        TERM,
        KILL
    }

    private final Process process;
    private final BufferedWriter input;
    private final CompletableFuture<String> ready = new CompletableFuture<>();
    private final Thread reader;

    /**
     * Starts a program.
     *
     * @param onLine called with each line of its output, on a thread of its own
     * @param log file for its error output
     */
    ChildProcess(Class<?> program, List<String> arguments, Consumer<String> onLine, Path log) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx126m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                program.getName()));
        command.addAll(arguments);
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        input = new BufferedWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        reader = new Thread(() -> read(onLine), "output-" + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Consumer<String> onLine) {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith(READY)) {
                    ready.complete(line.substring(READY.length()));
                }
                onLine.accept(line);
            }
        } catch (IOException e) {
            // The process was killed; its last line may be cut.
            ready.completeExceptionally(e);
        }
        ready.completeExceptionally(new IOException("the process ended before it was ready"));
    }

    /** Waits until the program has printed its address. */
    String awaitReady() throws Exception {
        return ready.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Writes a line to the program. */
    void command(String line) {
        try {
            input.write(line);
            input.newLine();
            input.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a signal, unless the process has ended. */
    void send(Signal signal) throws IOException, InterruptedException {
        if (!process.isAlive()) {
            return;
        }
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .redirectError(ProcessBuilder.Redirect.to(new File("/dev/null")))
                .start()
                .waitFor();
    }

    /** Largest resident memory up to now, in KB. */
    long peakMemoryKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until the process has ended and its whole output was read; returns its exit code. */
    int awaitEnd() throws InterruptedException {
        if (!process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("the process " + process.pid() + " does not end");
        }
        reader.join();
        return process.exitValue();
    }

    /** Waits for the end of the process for some time; returns whether it has ended. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly();
        awaitEnd();
    }
}
