import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with seconds since the start. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f  ", seconds()) + String.format(Locale.ROOT, format, values);
        out.println(line);
        out.flush();
    }

    /** A line that also goes to standard output. */
    void note(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(Locale.ROOT, "%8.3f  ", seconds())
                + String.format(Locale.ROOT, format, values));
    }

    @Override
    public void close() {
        out.close();
    }
}
