import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The record of a play: a line for each thing that was sent, answered or run, with the seconds since the start. */
final class Record {
    private final PrintWriter out;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Notes that a worker has begun to run a request. */
    void ran(String requestId) {
        runs.merge(requestId, 1, Integer::sum);
    }

    boolean hasRun(String requestId) {
        return runs.containsKey(requestId);
    }

    synchronized void line(String text) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
        out.flush();
    }
}
