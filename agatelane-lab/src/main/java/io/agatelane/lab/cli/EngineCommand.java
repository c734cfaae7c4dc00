package io.agatelane.lab.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.agatelane.lab.engine.EngineServer;
import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.engine.KvBlockStore;
import io.agatelane.lab.engine.KvBlockStores;
import io.agatelane.lab.http.LabServer;

/** Runs the stand-in for a model engine. */
@Parameters(commandNames = "engine", commandDescription = "Runs a stand-in of a model engine.")
public final class EngineCommand implements Command {
    @Parameter(names = "--http", required = true, description = "IP:PORT to listen on; port 0 takes a free one")
    private String http;

    @Parameter(names = "--model", required = true, description = "Model that the engine runs")
    private String model;

    @Parameter(names = "--weights-version", description = "Weights version")
    private String weightsVersion = "v1";

    @Parameter(names = "--slots", description = "Requests that run at once")
    private int slots = 8;

    @Parameter(names = "--prefill-tokens-per-second", description = "Rate of computing uncached prompt tokens")
    private double prefillTokensPerSecond = 40_000;

    @Parameter(names = "--token-millis", description = "Time between two output tokens")
    private double tokenMillis = 4;

    @Parameter(names = "--cache-blocks", description = "Blocks in the prefix cache")
    private int cacheBlocks = 2_048;

    @Parameter(names = "--max-waiting", description = "Requests that may queue")
    private int maxWaiting = 1_000;

    @Parameter(names = "--load-lag-millis", description = "Least age of a load report")
    private long loadLagMillis;

    @Parameter(names = "--load-weights-millis", description = "Time to load other weights")
    private long loadWeightsMillis = 2_000;

    @Parameter(names = "--import-millis-per-block", description = "Time to import one saved block")
    private double importMillisPerBlock = 0.5;

    @Parameter(names = "--orphan-millis", description = "Time for which a request without a reader keeps running")
    private long orphanMillis = 5_000;

    @Parameter(
            names = "--checks-fencing",
            arity = 1,
            description = "Whether orders with an old fencing number are refused")
    private boolean checksFencing = true;

    @Parameter(names = "--kept-store", description = "URL of the engine command that stores saved KV cache blocks")
    private String blockStoreUrl = "";

    @Override
    public int run() throws Exception {
        EngineSettings settings = new EngineSettings(
                model,
                weightsVersion,
                slots,
                prefillTokensPerSecond,
                tokenMillis,
                cacheBlocks,
                maxWaiting,
                loadLagMillis,
                loadWeightsMillis,
                importMillisPerBlock,
                orphanMillis,
                checksFencing);
        KvBlockStore blockStore = KvBlockStores.at(blockStoreUrl);
        try (EngineServer server = new EngineServer(LabServer.parseAddress(http), settings, blockStore).start()) {
            System.out.println("listening " + server.url());
            server.join();
        }
        return 0;
    }
}
