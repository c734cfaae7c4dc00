import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Another writer puts one entry under servers/ whose bytes cannot be read, and then the operator adds a route and a key. */
final class UnreadableEntryCase extends Case {
    private static final String OLD_KEY = "ctnfzs989anu6wsjnban";
    private static final String NEW_KEY = "fqasnmgkcuyj8pjbvk9m";

    private UnreadableEntryCase(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new UnreadableEntryCase(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker(record, store, "i-permit-" + i, "permit-app", ZONES[i], 6, 30);
            workers.add(worker);
            worker.register();
        }
        String routes = route("r-file", "/file/", "unsafe", 1000, "permit-app", 1, false) + ","
                + route("r-status", "/status/", "safe", 1000, "permit-app", 2, false);
        configure(7, config(7, routes, plainService("permit-app"), 15000, "\"" + OLD_KEY + "\""));
        startRouters(3);
        int served = 0;
        for (Router router : routers) {
            served += Caller.send(record, router, "POST /file/1", OLD_KEY, 1000, "renew").signed() ? 1 : 0;
        }
        if (served < routers.size()) {
            throw new IllegalStateException("the deployment does not serve before the disruption");
        }
        if (trouble) {
            store.put("servers/legacy-4", lengthPrefixed("permit-app legacy, zone c1"));
            record.line("another writer: servers/legacy-4 holds a record of a 4-byte length and a text");
        }
        Thread.sleep(3_000);
        configure(
                9,
                config(
                        9,
                        routes + "," + route("r-renew", "/renew/", "unsafe", 1000, "permit-app", 1, false),
                        plainService("permit-app"),
                        15000,
                        "\"" + OLD_KEY + "\",\"" + NEW_KEY + "\""));
        Thread.sleep(CONFIGURATION_APPLY_MILLIS + 1_000);
        int refusedAsUnknown = 0;
        int ran = 0;
        int others = 0;
        for (int i = 0; i < 30; i++) {
            Router router = routers.get(i % routers.size());
            for (Caller.Answer answer : new Caller.Answer[] {
                Caller.send(record, router, "POST /renew/" + i, OLD_KEY, 1000, "renew"),
                Caller.send(record, router, "POST /file/" + i, NEW_KEY, 1000, "file")
            }) {
                if (answer.isOwn() && (answer.status() == 401 || answer.status() == 403 || answer.status() == 404)) {
                    refusedAsUnknown++;
                } else if (answer.signed()) {
                    ran++;
                } else {
                    others++;
                }
            }
            Thread.sleep(300);
        }
        int oldServed = 0;
        for (Router router : routers) {
            oldServed += Caller.send(record, router, "POST /file/x", OLD_KEY, 1000, "file").signed() ? 1 : 0;
        }
        record.line("after the acknowledgement and configurationApplyMs: " + ran + " served, " + refusedAsUnknown
                + " refused with 401, 403 or 404, " + others + " other; old route and key: " + oldServed + " of "
                + routers.size() + " served");
        return refusedAsUnknown == 0;
    }

    private static byte[] lengthPrefixed(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[4 + bytes.length];
        all[3] = (byte) bytes.length;
        System.arraycopy(bytes, 0, all, 4, bytes.length);
        return all;
    }
}
