package io.agatelane.lab.experiment;

import io.agatelane.lab.engine.EngineServer;
import io.agatelane.lab.engine.EngineSettings;
import io.agatelane.lab.engine.KvBlockStore;
import io.agatelane.lab.engine.LocalKvBlockStore;
import io.agatelane.lab.http.LabServer;
import java.util.ArrayList;
import java.util.List;

/** Engines inside this process, listening on loopback. */
final class Fleet implements AutoCloseable {
    private static final int STORED_BLOCKS = 100_000;

    private final EngineSettings settings;
    private final List<EngineServer> engines = new ArrayList<>();

    private Fleet(EngineSettings settings) {
        this.settings = settings;
    }

    /** Starts engines with equal settings and one shared block store. */
    static Fleet start(EngineSettings settings, int count) {
        Fleet fleet = new Fleet(settings);
        KvBlockStore blockStore = new LocalKvBlockStore(STORED_BLOCKS);
        for (int i = 0; i < count; i++) {
            fleet.engines.add(new EngineServer(LabServer.parseAddress("127.0.0.1:0"), settings, blockStore).start());
        }
        return fleet;
    }

    EngineSettings settings() {
        return settings;
    }

    List<EngineServer> engines() {
        return engines;
    }

    /** Returns the sum of a counter over all engines. */
    long total(String counter) {
        return engines.stream()
                .mapToLong(engine -> engine.counters().path(counter).asLong())
                .sum();
    }

    /** Returns the fraction of the prompt tokens that the engines found in their caches. */
    double hitRate() {
        long promptTokens = total("promptTokens");
        return promptTokens == 0 ? 0 : (double) total("cachedTokens") / promptTokens;
    }

    @Override
    public void close() {
        engines.forEach(EngineServer::close);
    }
}
