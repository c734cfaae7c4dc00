import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs one case and ends the process with its result. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** The case itself; returns its result. */
    interface Body {
        int run(Record record, Path folder, boolean trouble) throws Exception;
    }

    private Case() {}

    /** Runs a case that writes to record.txt in the folder that the first argument names. */
    static void run(String[] arguments, Body body) {
        Record record = new Record();
        int result = NOT_RUN;
        try {
            Path folder = Files.createTempDirectory("review");
            Runtime.getRuntime().addShutdownHook(new Thread(() -> deleteAtEnd(folder)));
            try {
                boolean trouble = !"0".equals(System.getenv("TROUBLE"));
                record.add(trouble ? "with the disruption" : "without the disruption");
                result = body.run(record, folder, trouble);
            } finally {
                delete(folder);
            }
        } catch (Exception e) {
            record.add("the case could not run: " + e);
        }
        record.add("exit " + result);
        try {
            record.write(Path.of(arguments[0], "record.txt"));
        } catch (IOException e) {
            result = NOT_RUN;
        }
        System.exit(result);
    }

    // For a case that is ended by a signal. The routers are ended at the same time and may still write to their logs.
    private static void deleteAtEnd(Path folder) {
        try {
            if (Files.exists(folder)) {
                Worker.sleep(500);
                delete(folder);
            }
        } catch (IOException e) {
            System.err.println("not deleted: " + e);
        }
    }

    private static void delete(Path folder) throws IOException {
        List<Path> all;
        try (Stream<Path> paths = Files.walk(folder)) {
            all = paths.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : all) {
            Files.deleteIfExists(path);
        }
    }
}
