import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A new configuration makes a tenant isolated, whose requests have read shared parts of prompts before. */
final class IsolationCase extends Case {
    private static final String ISOLATED = "baden";
    private static final String OTHER = "aarau";
    private static final String ISOLATED_KEY = "ctnfzs989anu6wsjnban";
    private static final String OTHER_KEY = "fqasnmgkcuyj8pjbvk9m";
    private static final String MODEL = "daka510000";
    private static final int SUBJECTS = 10;

    private IsolationCase(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        run(new IsolationCase(Path.of(args[0])));
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 3; i++) {
            Engine engine = new Engine(record, store, "i-lm-" + i, "lm-pool", ZONES[i], 32, Map.of(MODEL, 1L));
            workers.add(engine);
            engine.register();
        }
        store.put("op/version/" + MODEL, "{\"model\":\"" + MODEL + "\",\"version\":1}");
        configure(7, configuration(7, false));
        startRouters(3);
        Thread.sleep(1_500);
        int served = 0;
        for (int subject = 0; subject < SUBJECTS; subject++) {
            served += check(subject, ISOLATED_KEY) ? 1 : 0;
        }
        if (served < SUBJECTS) {
            throw new IllegalStateException("the deployment does not serve before the disruption");
        }
        if (trouble) {
            configure(9, configuration(9, true));
        }
        Thread.sleep(CONFIGURATION_APPLY_MILLIS + 1_000);
        double inForceSeconds = record.seconds();
        for (int round = 0; round < 3; round++) {
            for (int subject = 0; subject < SUBJECTS; subject++) {
                check(subject, OTHER_KEY);
            }
        }
        long foreign = 0;
        for (AutoCloseable worker : workers) {
            foreign += ((Engine) worker)
                    .foreignParts().stream().filter(use -> use.seconds() > inForceSeconds).count();
        }
        record.line(foreign + " parts that requests of " + ISOLATED + " had made were used by requests of " + OTHER + ", "
                + ISOLATED + (trouble ? " is isolated" : " is not isolated"));
        return !trouble || foreign == 0;
    }

    private static String configuration(int version, boolean isolated) {
        String service = "{\"name\":\"lm-pool\",\"healthPath\":\"/health\",\"connectionLimit\":230,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":32,\"cacheTokens\":186924,\"cacheTokenBytes\":18432,"
                + "\"linkMbps\":88000.0,\"models\":[{\"name\":\"" + MODEL + "\"}]}}";
        return config(
                version,
                route("r-check", "/check/", "streaming", 6000, "lm-pool", 2, true),
                service,
                15000,
                List.of(
                        tenant(ISOLATED, "\"" + ISOLATED_KEY + "\"", isolated),
                        tenant(OTHER, "\"" + OTHER_KEY + "\"", false)));
    }

    // The first part of a prompt belongs to its subject and is the same for both tenants, the last to the request.
    private boolean check(int subject, String key) {
        String id = Caller.newId();
        String headers = "Authorization: Token " + key + "\r\nModel: " + MODEL
                + "\r\nToken-Count: 5000,8\r\nPrompt-Prefix: 5c1e07a" + subject + ":4000," + id.substring(8) + ":1000\r\n";
        Caller.Answer answer =
                Caller.send(record, routers.get(subject % routers.size()), id, "POST /check/1", headers, 6_000, "check");
        return answer.signed() && answer.status() == 200 && answer.complete();
    }
}
