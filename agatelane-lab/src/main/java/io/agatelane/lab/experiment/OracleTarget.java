package io.agatelane.lab.experiment;

import io.agatelane.core.hash.PromptDigester;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.lab.load.Arrival;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Baseline with complete information: reads the actual cache and queue of every engine and chooses the one with the
 * earliest estimated first token.
 */
final class OracleTarget extends EngineTarget {
    private final int longRequestMillis;

    OracleTarget(Fleet fleet, int longRequestMillis) {
        super(fleet);
        this.longRequestMillis = longRequestMillis;
    }

    // Long requests get a lower priority. Otherwise short requests would wait behind long ones, and the oracle would
    // lose to the router.
    @Override
    int priorityOf(Arrival arrival) {
        PromptDigester digester = new PromptDigester("");
        arrival.addMessagesTo(digester);
        double prefillMillis =
                digester.build().tokenCount() * 1_000.0 / fleet().settings().prefillTokensPerSecond();
        double decodeMillis =
                arrival.workloadClass().maxTokens() * fleet().settings().tokenMillis();
        return prefillMillis + decodeMillis > longRequestMillis ? 1 : 0;
    }

    @Override
    int chooseEngine(Arrival arrival, String salt) {
        PromptDigester digester = new PromptDigester(salt);
        arrival.addMessagesTo(digester);
        PromptDigests digests = digester.build();
        List<CompletableFuture<Double>> estimates = fleet().engines().stream()
                .map(engine -> engine.estimateFirstTokenMillis(fleet().settings(), salt, digests))
                .toList();
        int best = 0;
        for (int i = 1; i < estimates.size(); i++) {
            if (estimates.get(i).join() < estimates.get(best).join()) {
                best = i;
            }
        }
        return best;
    }
}
