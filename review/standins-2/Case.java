import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs one case: {@code Case CLASS RECORD_FILE}. Exit status: 1 the rule was broken, 0 it held, 2 it could not run. */
public final class Case {
    /** A case; returns whether the rule held. */
    interface Play {
        boolean run(Record record, Path directory, boolean trouble) throws Exception;
    }

    private static final long MAX_MILLIS = 110_000;

    private Case() {}

    public static void main(String[] args) throws Exception {
        Play play = (Play) Class.forName(args[0]).getDeclaredConstructor().newInstance();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Listener.daemon(() -> {
            try {
                Thread.sleep(MAX_MILLIS);
                System.out.println("could not run: it takes too long");
                System.exit(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        Path directory = Files.createTempDirectory("case");
        // Also where the driver itself is ended early.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(directory)));
        int status;
        try (Record record = new Record(Path.of(args[1]))) {
            try {
                record.note("%s, %s", args[0], trouble ? "with the disruption" : "without the disruption");
                boolean held = play.run(record, directory, trouble);
                record.note(held ? "the rule held" : "the rule was broken");
                status = held ? 0 : 1;
            } catch (Exception e) {
                record.note("could not run: %s", e);
                e.printStackTrace();
                status = 2;
            }
        }
        System.exit(status);
    }

    private static void end(Path directory) {
        Routers.killAll();
        if (System.getenv("KEEP") != null) {
            System.out.println("logs: " + directory);
            return;
        }
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.out.println("not deleted: " + directory + ", " + e);
        }
    }
}
