import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The holder of the roll-out is cut off while an order of it is under way; another router takes over meanwhile. */
final class LateOrder implements Case.Play {
    /** When TCP sends bytes again after a link has healed. */
    static final long RETRANSMISSION_MILLIS = 1_000;
    private static final long CUT_MILLIS = 8_000;
    private static final long FREEZE_SLACK_MILLIS = 300;
    private static final int ROUTERS = 2;
    private static final int ENGINES = 3;

    private record Seen(String holder, long token) {}

    private final Map<String, Seen> last = new HashMap<>();
    private int broken;
    private int orders;
    private Link.Cut firstCut;
    private volatile long healedMillis;

    @Override
    public boolean run(Record record, Path directory, boolean trouble) throws Exception {
        Store store = new Store(record);
        store.put("op/config", Engine.config(3));
        store.put("op/version/" + Engine.MODEL, "{\"model\":\"" + Engine.MODEL + "\",\"version\":1}");
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = new Engine(store, record, "lm", "zone-" + "abc".charAt(i));
            engine.onOrder((holder, token, status) -> ordered(record, engine.id(), holder, token, status));
            engines.add(engine);
        }
        try (Routers routers = new Routers(directory)) {
            for (int i = 0; i < ROUTERS; i++) {
                Link.Cut cut = new Link.Cut();
                Map<String, String> addresses = new HashMap<>();
                for (Engine engine : engines) {
                    Link link = new Link(engine.address(), cut, sent -> sent(record, sent, cut, trouble));
                    addresses.put(engine.address(), link.address());
                }
                Link toStore = new Link(store.addressFor(addresses), cut, sent -> {});
                routers.start("zone-" + "abc".charAt(i), toStore.address());
            }
            for (Routers.Router router : routers.all()) {
                Routers.awaitReady(router, 20_000);
            }
            Thread.sleep(3_000);
            store.put("op/version/" + Engine.MODEL, "{\"model\":\"" + Engine.MODEL + "\",\"version\":2}");
            record.note("version 2 acknowledged");
            long end = System.currentTimeMillis() + 25_000;
            boolean healed = false;
            long cutMillis = 0;
            while (System.currentTimeMillis() < end) {
                Thread.sleep(20);
                synchronized (this) {
                    if (firstCut != null && cutMillis == 0) {
                        cutMillis = System.currentTimeMillis();
                    }
                }
                if (cutMillis > 0 && !healed && System.currentTimeMillis() - cutMillis >= CUT_MILLIS) {
                    healedMillis = System.currentTimeMillis();
                    firstCut.heal();
                    healed = true;
                    record.note("the links of that router heal");
                }
            }
        }
        record.note("orders that reached an engine %d, with a lower number after a higher one %d", orders, broken);
        if (orders == 0) {
            throw new IllegalStateException("no order reached an engine");
        }
        return broken == 0;
    }

    private synchronized void sent(Record record, String text, Link.Cut cut, boolean trouble) {
        if (trouble && firstCut == null && text.startsWith("POST /api/order")) {
            firstCut = cut;
            cut.begin();
            record.note("an order is on its way; the links of its router are cut for %d ms", CUT_MILLIS);
        }
    }

    private synchronized void ordered(Record record, String engine, String holder, long token, int status) {
        if (System.currentTimeMillis() - healedMillis <= FREEZE_SLACK_MILLIS) {
            record.note("an order right after the links have healed, not counted");
            return;
        }
        Seen before = last.get(engine);
        record.note("%s gets an order of %s with number %d, answers %d", engine, holder, token, status);
        orders++;
        if (before != null && token < before.token()) {
            broken++;
            record.note("ONE: number %d of %s after number %d of %s", token, holder, before.token(), before.holder());
        } else {
            last.put(engine, new Seen(holder, token));
        }
    }
}
