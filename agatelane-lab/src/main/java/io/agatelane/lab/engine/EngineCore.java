package io.agatelane.lab.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.agatelane.core.hash.PromptDigests;
import io.agatelane.lab.engine.EngineRefusal.Reason;
import io.agatelane.node.util.EventLog;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Simulates an engine with continuous batching.
 *
 * <p>Prefill computes one chunk at a time, always for the running request with the best priority. In each decode step,
 * every running request whose prefill is complete produces one output token. A single thread (the loop) owns all
 * state.
 */
@SuppressWarnings("FutureReturnValueIgnored") // Tasks on the loop are not awaited; their failures are logged.
final class EngineCore implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(EngineCore.class);
    private static final int TOKENS_PER_BLOCK = 256;
    private static final int PREFILL_CHUNK_TOKENS = 1_024;
    private static final long HOUSEKEEPING_MILLIS = 50;
    private static final long FINISHED_RETENTION_MILLIS = 30_000;
    private static final AtomicLong INCARNATIONS = new AtomicLong(System.currentTimeMillis());

    private final EngineSettings settings;
    private final EngineFaults faults;
    private final EngineCounters counters = new EngineCounters();
    private final CacheEvents events = new CacheEvents();
    private final KvBlockStore blockStore;
    private final ScheduledThreadPoolExecutor loop;
    private final PriorityQueue<Generation> waiting =
            new PriorityQueue<>(Comparator.comparingInt((Generation generation) -> generation.request.priority())
                    .thenComparingLong(generation -> generation.sequence));
    private final List<Generation> running = new ArrayList<>();
    private final Map<String, Generation> streams = new LinkedHashMap<>();
    private final Set<Long> everComputedDigests = new HashSet<>();
    private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
    private final PrefixCache cache;
    private Runnable onCrash = () -> {};
    private Runnable onReset = () -> {};
    private Generation prefilling;
    private boolean decodeStepScheduled;
    private long nextDecodeStepNanos;
    private long nextSequence;
    private volatile int epoch;
    private volatile String incarnation = newIncarnation();
    private volatile LabEngineState state;

    EngineCore(EngineSettings settings, EngineFaults faults, KvBlockStore blockStore) {
        this.settings = settings;
        this.faults = faults;
        this.blockStore = blockStore;
        this.state = LabEngineState.initial(settings);
        this.cache = new PrefixCache(settings.cacheBlocks(), (salt, digests) -> publish("evicted", salt, digests));
        this.loop = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "engine");
            thread.setDaemon(true);
            return thread;
        });
        loop.setRemoveOnCancelPolicy(true);
        loop.scheduleAtFixedRate(
                this::runHousekeeping, HOUSEKEEPING_MILLIS, HOUSEKEEPING_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets the action that drops the connections when a request crashes the engine. */
    void onCrash(Runnable listener) {
        onCrash = listener;
    }

    /** Sets the action that resets state outside this class after a crash. */
    void onReset(Runnable listener) {
        onReset = listener;
    }

    String incarnation() {
        return incarnation;
    }

    LabEngineState state() {
        return state;
    }

    EngineCounters counters() {
        return counters;
    }

    CacheEvents events() {
        return events;
    }

    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Runs a task on the engine's loop; a freeze fault delays it until the freeze ends. */
    void execute(Runnable task) {
        schedule(0, task);
    }

    /**
     * Accepts a request.
     *
     * @param reader opens the response to an accepted request, before its first token
     * @return the incarnation and weights that run it; fails with an {@link EngineRefusal} when the request was refused
     *     before anything ran
     */
    CompletableFuture<Acceptance> submit(
            GenerationRequest request,
            String expectedIncarnation,
            String expectedWeights,
            Function<Acceptance, TokenReader> reader) {
        CompletableFuture<Acceptance> accepted = new CompletableFuture<>();
        execute(() -> {
            counters.countAttempt(request.requestId());
            Reason reason = refusalReason(request, expectedIncarnation, expectedWeights);
            if (reason != null) {
                counters.add("refused." + reason.code(), 1);
                accepted.completeExceptionally(new EngineRefusal(reason));
                return;
            }
            LabEngineState current = state;
            Acceptance result = new Acceptance(incarnation, current.weightsVersion());
            enqueue(request, current, reader.apply(result));
            accepted.complete(result);
        });
        return accepted;
    }

    /** Attaches a reader to a retained stream; false when the stream or the offset is not available. */
    CompletableFuture<Boolean> resume(String requestId, int fromOffset, Supplier<TokenReader> reader) {
        CompletableFuture<Boolean> found = new CompletableFuture<>();
        execute(() -> {
            Generation generation = streams.get(requestId);
            boolean attachable = generation != null && generation.isReadableFrom(fromOffset);
            found.complete(attachable);
            if (attachable) {
                counters.add("resumedStreams", 1);
                generation.attach(fromOffset, reader.get());
            }
        });
        return found;
    }

    /** Ends a request; false when it is not known. */
    CompletableFuture<Boolean> cancel(String requestId) {
        CompletableFuture<Boolean> found = new CompletableFuture<>();
        execute(() -> {
            Generation generation = streams.get(requestId);
            if (generation != null) {
                counters.add("cancelled", 1);
                removeAndForget(generation);
            }
            found.complete(generation != null);
        });
        return found;
    }

    /** Records that a reader's connection is closed. */
    void detach(String requestId, TokenReader reader) {
        execute(() -> {
            Generation generation = streams.get(requestId);
            if (generation != null) {
                generation.detach(reader, nowMillis());
            }
        });
    }

    /** Returns the newest load report that is at least as old as the configured lag, else the oldest one. */
    CompletableFuture<ObjectNode> load() {
        CompletableFuture<ObjectNode> report = new CompletableFuture<>();
        execute(() -> {
            long now = nowMillis();
            LoadSample chosen = sample(now);
            long lag = faults.loadLagMillis();
            if (lag > 0 && !loadSamples.isEmpty()) {
                chosen = loadSamples.peekFirst();
                for (LoadSample candidate : loadSamples) {
                    if (now - candidate.measuredMillis() >= lag) {
                        chosen = candidate;
                    }
                }
            }
            report.complete(toLoadReport(chosen, now));
        });
        return report;
    }

    /** Estimates the cost of a prompt from the current state instead of the delayed load report. */
    CompletableFuture<Estimate> estimate(String salt, PromptDigests digests) {
        CompletableFuture<Estimate> estimate = new CompletableFuture<>();
        execute(() -> {
            int blocks = cache.peek(salt, digests);
            long tokensAhead = 0;
            for (Generation pending : pending()) {
                tokensAhead += pending.isNew() ? uncachedTokens(pending.request) : pending.prefillTokensLeft();
                if (pending.request.salt().equals(salt)) {
                    blocks = Math.max(blocks, commonBlockCount(pending.request.digests(), digests));
                }
            }
            int queued = Math.max(0, running.size() + waiting.size() + 1 - settings.slots());
            int cachedTokens = Math.min(blocks * TOKENS_PER_BLOCK, digests.tokenCount());
            estimate.complete(new Estimate(cachedTokens, tokensAhead, queued));
        });
        return estimate;
    }

    /** Changes model, weights or role; other weights clear the cache. Called on the loop. */
    void changeState(LabEngineState newState) {
        LabEngineState old = state;
        state = newState;
        if (!old.hasSameWeights(newState)) {
            cache.clear();
            publish("cleared", "", List.of());
        }
    }

    /** Saves those of the given blocks that are cached, and returns how many they are. */
    CompletableFuture<Integer> export(String salt, List<Long> digests) {
        CompletableFuture<Integer> exported = new CompletableFuture<>();
        execute(() -> {
            List<String> keys = digests.stream()
                    .filter(digest -> cache.contains(salt, digest))
                    .map(digest -> blockKey(salt, digest))
                    .toList();
            counters.add("exportedBlocks", keys.size());
            blockStore.save(keys).whenComplete((done, failure) -> complete(exported, keys.size(), failure));
        });
        return exported;
    }

    /** Copies those of the given blocks that are saved into the cache, and returns how many they are. */
    CompletableFuture<Integer> importBlocks(String salt, List<Long> digests) {
        CompletableFuture<Integer> imported = new CompletableFuture<>();
        List<String> keys =
                digests.stream().map(digest -> blockKey(salt, digest)).toList();
        blockStore.find(keys).whenComplete((found, failure) -> {
            if (failure != null) {
                imported.completeExceptionally(failure);
                return;
            }
            Set<String> foundKeys = Set.copyOf(found);
            List<Long> present = digests.stream()
                    .filter(digest -> foundKeys.contains(blockKey(salt, digest)))
                    .toList();
            schedule(present.size() * settings.importMillisPerBlock(), () -> {
                publishStored(salt, cache.store(salt, present));
                counters.add("importedBlocks", present.size());
                imported.complete(present.size());
            });
        });
        return imported;
    }

    /** Loses all state but the counters and the last fencing number, and starts a new incarnation. */
    void crash() {
        loop.execute(() -> {
            int startEpoch = epoch;
            epoch = startEpoch + 1;
            List.copyOf(streams.values()).forEach(Generation::abort);
            streams.clear();
            waiting.clear();
            running.clear();
            loadSamples.clear();
            prefilling = null;
            decodeStepScheduled = false;
            cache.clear();
            events.reset();
            incarnation = newIncarnation();
            state = LabEngineState.initial(settings).withFencingNumber(state.fencingNumber());
            counters.add("crashes", 1);
            onReset.run();
        });
    }

    /** Runs a task on the loop after a delay, unless the engine crashes before it is due. */
    void schedule(double delayMillis, Runnable task) {
        int startEpoch = epoch;
        loop.schedule(() -> runUnlessFrozen(startEpoch, task), (long) (delayMillis * 1e6), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        loop.shutdownNow();
    }

    private static String newIncarnation() {
        return Long.toHexString(INCARNATIONS.incrementAndGet());
    }

    private void runUnlessFrozen(int startEpoch, Runnable task) {
        if (startEpoch != epoch) {
            return;
        }
        long frozenMillis = faults.frozenMillis(nowMillis());
        if (frozenMillis > 0) {
            loop.schedule(() -> runUnlessFrozen(startEpoch, task), frozenMillis, TimeUnit.MILLISECONDS);
        } else {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.event("engine_task_failed").error(e);
            }
        }
    }

    private Reason refusalReason(GenerationRequest request, String expectedIncarnation, String expectedWeights) {
        LabEngineState current = state;
        if (!expectedIncarnation.isEmpty() && !expectedIncarnation.equals(incarnation)) {
            return Reason.INCARNATION_MISMATCH;
        }
        if (!expectedWeights.isEmpty() && !expectedWeights.equals(current.weightsVersion())) {
            return Reason.WEIGHTS_MISMATCH;
        }
        if (!request.model().isEmpty() && !request.model().equals(current.model())) {
            return Reason.MODEL_NOT_FOUND;
        }
        if (current.loading()) {
            return Reason.LOADING_WEIGHTS;
        }
        return waiting.size() >= settings.maxWaiting() ? Reason.OVERLOADED : null;
    }

    private void enqueue(GenerationRequest request, LabEngineState current, TokenReader reader) {
        counters.add("requests", 1);
        if (current.role().equals("draining")) {
            counters.add("requestsWhileDraining", 1);
        }
        if (request.resumeTokens() > 0) {
            counters.add("continuedRequests", 1);
        }
        TokenSource tokens = TokenSource.of(current.model(), current.weightsVersion(), request.canonicalPrompt());
        if (!request.resumeText().equals(tokens.text(request.resumeTokens()))) {
            counters.add("resumeTextMismatches", 1);
            tokens = tokens.continuing(request.resumeText());
        }
        Generation generation = new Generation(request, tokens, current.weightsVersion(), nextSequence++, reader);
        Generation previous = streams.put(request.requestId(), generation);
        if (previous != null && !previous.isFinished()) {
            counters.add("replacedRequests", 1);
            remove(previous);
        }
        waiting.add(generation);
        admit();
    }

    private void admit() {
        while (running.size() < settings.slots() && !waiting.isEmpty()) {
            running.add(waiting.poll());
        }
        if (prefilling == null) {
            prefillNext();
        }
    }

    private void prefillNext() {
        prefilling = running.stream()
                .filter(generation -> !generation.isDecoding())
                .min(waiting.comparator())
                .orElse(null);
        if (prefilling == null) {
            return;
        }
        Generation generation = prefilling;
        if (faults.containsCrashMarker(generation.request.canonicalPrompt())) {
            counters.add("poisonCrashes", 1);
            onCrash.run();
            return;
        }
        if (generation.isNew()) {
            startPrefill(generation);
        }
        int chunk = Math.min(PREFILL_CHUNK_TOKENS, generation.prefillTokensLeft());
        double millis = chunk * 1_000.0 / settings.prefillTokensPerSecond() * faults.straggleFactor();
        schedule(millis, () -> finishChunk(generation, chunk));
    }

    private List<Generation> pending() {
        List<Generation> pending = new ArrayList<>(waiting);
        running.stream().filter(generation -> !generation.isDecoding()).forEach(pending::add);
        return pending;
    }

    private static int commonBlockCount(PromptDigests first, PromptDigests second) {
        int limit = Math.min(first.blockCount(), second.blockCount());
        int common = 0;
        while (common < limit && first.digest(common) == second.digest(common)) {
            common++;
        }
        return common;
    }

    private long uncachedTokens(GenerationRequest request) {
        int cached = cache.peek(request.salt(), request.digests()) * TOKENS_PER_BLOCK;
        return Math.max(0, request.promptTokens() - cached);
    }

    private void startPrefill(Generation generation) {
        GenerationRequest request = generation.request;
        int blocks = cache.match(request.salt(), request.digests());
        int cachedTokens = Math.min(blocks * TOKENS_PER_BLOCK, request.promptTokens());
        generation.startPrefill(cachedTokens);
        counters.add("promptTokens", request.promptTokens());
        counters.add("cachedTokens", cachedTokens);
        counters.add("computedBlockTokens", (long) (request.digests().blockCount() - blocks) * TOKENS_PER_BLOCK);
        for (int i = blocks; i < request.digests().blockCount(); i++) {
            if (!everComputedDigests.add(request.digests().digest(i))) {
                counters.add("recomputedTokens", TOKENS_PER_BLOCK);
            }
        }
    }

    private void finishChunk(Generation generation, int chunk) {
        generation.recordPrefilled(chunk);
        if (running.contains(generation) && generation.prefillTokensLeft() <= 0) {
            if (generation.weightsVersion.equals(state.weightsVersion())) {
                GenerationRequest request = generation.request;
                publishStored(request.salt(), cache.store(request.salt(), request.digests()));
            }
            generation.startDecoding();
            if (generation.produceToken()) {
                startDecodeSteps();
            } else {
                finish(generation);
            }
        }
        prefilling = null;
        admit();
    }

    private void startDecodeSteps() {
        if (!decodeStepScheduled) {
            decodeStepScheduled = true;
            nextDecodeStepNanos = System.nanoTime();
            scheduleDecodeStep();
        }
    }

    private void scheduleDecodeStep() {
        nextDecodeStepNanos += (long) (settings.tokenMillis() * faults.straggleFactor() * 1e6);
        schedule((double) Math.max(0, nextDecodeStepNanos - System.nanoTime()) / 1e6, this::decodeStep);
    }

    private void decodeStep() {
        boolean decoding = false;
        for (Generation generation : List.copyOf(running)) {
            if (generation.isDecoding()) {
                if (generation.produceToken()) {
                    decoding = true;
                } else {
                    finish(generation);
                }
            }
        }
        decodeStepScheduled = decoding;
        if (decoding) {
            // Skips decode steps that are more than 20 ms late: after a freeze the missed steps are not made up for.
            nextDecodeStepNanos = Math.max(nextDecodeStepNanos, System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(20));
            scheduleDecodeStep();
        }
        admit();
    }

    private void finish(Generation generation) {
        running.remove(generation);
        generation.finish(nowMillis());
    }

    private void removeAndForget(Generation generation) {
        remove(generation);
        streams.remove(generation.request.requestId(), generation);
        admit();
    }

    private void remove(Generation generation) {
        waiting.remove(generation);
        running.remove(generation);
        generation.abort();
    }

    private void runHousekeeping() {
        if (faults.frozenMillis(nowMillis()) > 0) {
            return;
        }
        long now = nowMillis();
        loadSamples.addLast(sample(now));
        while (loadSamples.size() > 2
                && now - loadSamples.peekFirst().measuredMillis() > faults.loadLagMillis() + 1_000) {
            loadSamples.removeFirst();
        }
        Iterator<Generation> retained = streams.values().iterator();
        List<Generation> orphans = new ArrayList<>();
        while (retained.hasNext()) {
            Generation generation = retained.next();
            if (generation.isFinished()) {
                if (now - generation.finishedMillis() > FINISHED_RETENTION_MILLIS) {
                    retained.remove();
                }
            } else if (generation.isOrphanedSince(now - settings.orphanTimeoutMillis())) {
                orphans.add(generation);
            }
        }
        counters.add("abandoned", orphans.size());
        orphans.forEach(this::removeAndForget);
    }

    private LoadSample sample(long now) {
        return new LoadSample(now, running.size(), waiting.size(), state);
    }

    private ObjectNode toLoadReport(LoadSample sample, long now) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("incarnation", incarnation)
                .put("model", sample.state().model())
                .put("weights_version", sample.state().weightsVersion())
                .put(
                        "role",
                        sample.state().loading() ? "loading" : sample.state().role())
                .put("slots", settings.slots())
                .put("running", sample.running())
                .put("waiting", sample.waiting())
                .put("prefill_tokens_per_second", settings.prefillTokensPerSecond())
                .put("token_millis", settings.tokenMillis())
                .put("age_millis", now - sample.measuredMillis());
    }

    private void publishStored(String salt, List<Long> added) {
        if (!added.isEmpty()) {
            publish("stored", salt, added);
        }
    }

    private void publish(String type, String salt, List<Long> digests) {
        String event = events.prepare(type, salt, digests);
        if (faults.takeDroppedEvent()) {
            return;
        }
        if (faults.eventLagMillis() > 0) {
            schedule((double) faults.eventLagMillis(), () -> events.publish(event));
        } else {
            events.publish(event);
        }
    }

    private String blockKey(String salt, long digest) {
        return state.weightsVersion() + '/' + salt + '/' + Long.toHexString(digest);
    }

    private static <T> void complete(CompletableFuture<T> future, T value, Throwable failure) {
        if (failure == null) {
            future.complete(value);
        } else {
            future.completeExceptionally(failure);
        }
    }

    /**
     * Cost of a prompt on this engine.
     *
     * @param cachedTokens prompt tokens that are cached, or will be once the pending requests are prefilled
     * @param tokensAhead tokens that the pending requests still have to prefill
     * @param queued requests without a slot, including this one
     */
    record Estimate(int cachedTokens, long tokensAhead, int queued) {}

    /** Incarnation and weights version that run an accepted request. */
    record Acceptance(String incarnation, String weightsVersion) {}

    private record LoadSample(long measuredMillis, int running, int waiting, LabEngineState state) {}
}
