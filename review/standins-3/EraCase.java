import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A drill of a store whose answers state a large era, while new weights are rolled out. */
public final class EraCase {
    private static final String MODEL = "daka510000";
    private static final int WORKERS = 8;

    private EraCase() {}

    public static void main(String[] arguments) {
        Case.run(arguments, EraCase::run);
    }

    private static int run(Record record, Path folder, boolean trouble) throws Exception {
        long firstEra = Long.parseLong(System.getenv().getOrDefault("ERA", "2047"));
        Store store = new Store(firstEra);
        Engine engine = new Engine(record);
        List<String> orders = new ArrayList<>();
        Worker.Handler take = Engine.orders(record, orders, 600);
        operator(store, 0);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker("i-w" + i, "lm", 32, engine);
            worker.model = MODEL;
            worker.orders = take;
            worker.report(store);
            workers.add(worker);
        }
        boolean done;
        try (Router first = new Router("front-a-1", folder, store.open().port(), 8);
                Router second = new Router("front-a-2", folder, store.open().port(), 8)) {
            first.awaitReady();
            second.awaitReady();
            Worker.sleep(6_000);
            record.add("both routers are ready; the store states era " + firstEra);
            store.makeCopy();
            Worker.sleep(5_000);
            operator(store, 2);
            record.add("the operator names version 2");
            await(workers, 2, 3, 30_000);
            if (trouble) {
                store.goBack();
                record.add("drill: the store is back from its copy and states era " + (firstEra + 1));
                Worker.sleep(500);
                operator(store, 2);
                record.add("the operator has written again");
            }
            boolean second2 = await(workers, 2, WORKERS, 40_000);
            record.add("version 2 is " + (second2 ? "" : "not ") + "in place everywhere");
            operator(store, 3);
            record.add("the operator names version 3");
            done = await(workers, 3, WORKERS, 40_000);
            record.add("version 3 is " + (done ? "" : "not ") + "in place everywhere");
            for (Router router : List.of(first, second)) {
                router.log().lines().filter(line -> line.contains("era") || line.contains("rollout_duty")).forEach(record::add);
            }
        }
        int broken = judge(record, orders);
        record.add("workers that got a lower epoch number after a higher one: " + broken);
        return broken > 0 ? Case.BROKEN : done ? Case.HELD : Case.NOT_RUN;
    }

    private static void operator(Store store, long version) {
        store.put(
                "op/config",
                new Setup(7, 15_000)
                        .route("/ask/", "streaming", "lm", 2, 6_000, true)
                        .engine("lm", MODEL)
                        .build());
        if (version > 0) {
            store.put(
                    "op/version/" + MODEL,
                    Store.MAPPER.createObjectNode().put("model", MODEL).put("version", version));
        }
    }

    private static boolean await(List<Worker> workers, long version, int count, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (workers.stream().filter(worker -> worker.version >= version).count() < count) {
            if (System.nanoTime() > end) {
                return false;
            }
            Worker.sleep(50);
        }
        return true;
    }

    private static int judge(Record record, List<String> orders) {
        Map<String, Long> highest = new HashMap<>();
        Map<String, String> broken = new HashMap<>();
        synchronized (orders) {
            for (String order : orders) {
                String[] words = order.split(" ");
                long token = Long.parseLong(words[2]);
                if (token < highest.getOrDefault(words[0], 0L)) {
                    broken.put(words[0], "epoch number " + token + " of " + words[1] + " after " + highest.get(words[0]));
                }
                highest.merge(words[0], token, Math::max);
            }
        }
        broken.forEach((worker, text) -> record.add("broken at " + worker + ": " + text));
        return broken.size();
    }
}
