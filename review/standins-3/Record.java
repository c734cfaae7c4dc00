import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with the time since the start. */
final class Record {
    private final long started = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    synchronized void add(String line) {
        String text = String.format("%7.3f %s", (System.nanoTime() - started) / 1e9, line);
        lines.add(text);
        System.out.println(text);
    }

    long millis() {
        return (System.nanoTime() - started) / 1_000_000;
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
