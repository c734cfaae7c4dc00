package io.agatelane.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * An engine with continuous batching: prefills prompts in pieces between the tokens of running requests, and preempts
 * the newest of the least urgent requests when its memory is full.
 */
final class SimulatedEngine {
    /** Duration of a step without any prompt tokens. */
    static final double STEP_MILLIS = 3.41;

    /** Time that each running request adds to a step. */
    static final double STEP_MILLIS_PER_REQUEST = 0.097;

    private static final Comparator<Job> MOST_URGENT = Comparator.<Job>comparingInt(job -> job.priority)
            .thenComparingDouble(job -> job.arrivedMillis)
            .thenComparingInt(job -> job.number);

    private final int slots;
    private final long memoryTokens;
    private final int pieceTokens;
    private final double tokensPerMilli;
    private final List<Job> waiting = new ArrayList<>();
    private final List<Job> running = new ArrayList<>();
    private double freeAtMillis;
    private double durationFactor = 1;
    private Comparator<Job> prefillOrder = MOST_URGENT;

    /** A request and its progress. */
    static final class Job {
        final int number;
        final boolean isShort;
        final int priority;
        final double arrivedMillis;
        final int promptTokens;
        final int outputTokens;
        double firstTokenMillis = Double.NaN;
        double endMillis = Double.NaN;
        boolean isObserved;
        private double prefilled;
        private int generated;

        Job(int number, boolean isShort, int priority, double arrivedMillis, int promptTokens, int outputTokens) {
            this.number = number;
            this.isShort = isShort;
            this.priority = priority;
            this.arrivedMillis = arrivedMillis;
            this.promptTokens = promptTokens;
            this.outputTokens = outputTokens;
        }

        private Job copy() {
            Job copy = new Job(number, isShort, priority, arrivedMillis, promptTokens, outputTokens);
            copy.firstTokenMillis = firstTokenMillis;
            copy.prefilled = prefilled;
            copy.generated = generated;
            return copy;
        }

        private boolean isPrefilled() {
            return prefilled >= promptTokens;
        }
    }

    SimulatedEngine(int slots, long memoryTokens, int pieceTokens, double tokensPerMilli) {
        this.slots = slots;
        this.memoryTokens = memoryTokens;
        this.pieceTokens = pieceTokens;
        this.tokensPerMilli = tokensPerMilli;
    }

    /** Makes the engine prefill admitted prompts one after the other, in the order in which they were admitted. */
    SimulatedEngine withPrefillInOrderOfAdmission() {
        prefillOrder = Comparator.comparingDouble(job -> 0);
        return this;
    }

    /** Changes the duration of the steps that begin from now on, relative to the normal one. */
    void setDurationFactor(double factor) {
        durationFactor = factor;
    }

    /** Returns when a job would have its first token here if no other request came. */
    double firstTokenMillis(Job job) {
        SimulatedEngine copy = new SimulatedEngine(slots, memoryTokens, pieceTokens, tokensPerMilli);
        waiting.forEach(other -> copy.waiting.add(other.copy()));
        running.forEach(other -> copy.running.add(other.copy()));
        copy.freeAtMillis = Math.max(freeAtMillis, job.arrivedMillis);
        copy.durationFactor = durationFactor;
        copy.prefillOrder = prefillOrder;
        Job added = job.copy();
        copy.send(added);
        while (Double.isNaN(added.firstTokenMillis)) {
            copy.admit();
            copy.step();
        }
        return added.firstTokenMillis;
    }

    void send(Job job) {
        waiting.add(job);
    }

    /** Tokens of all requests that were sent here and have not ended. */
    long committedTokens() {
        return tokens(running) + tokens(waiting);
    }

    /** Prefill work of requests without a first token, at most as urgent as a priority. */
    PrefillBacklog backlog() {
        PrefillBacklog backlog = PrefillBacklog.EMPTY;
        for (List<Job> jobs : List.of(waiting, running)) {
            for (Job job : jobs) {
                if (Double.isNaN(job.firstTokenMillis)) {
                    backlog = backlog.with(
                            job.priority,
                            (job.promptTokens - job.prefilled)
                                    / (pieceTokens / (pieceTokens / tokensPerMilli + STEP_MILLIS)));
                }
            }
        }
        return backlog;
    }

    int running() {
        return running.size();
    }

    int requests() {
        return running.size() + waiting.size();
    }

    /** Runs steps up to a time. */
    void advance(double nowMillis) {
        while (freeAtMillis <= nowMillis) {
            admit();
            if (running.isEmpty()) {
                freeAtMillis = nowMillis + 1;
                return;
            }
            step();
        }
    }

    private void admit() {
        waiting.sort(MOST_URGENT);
        while (!waiting.isEmpty() && running.size() < slots) {
            Job next = waiting.get(0);
            if (!makeRoom(next)) {
                return;
            }
            waiting.remove(0);
            running.add(next);
        }
    }

    private boolean makeRoom(Job next) {
        while (tokens(running) + tokens(next) > memoryTokens && !running.isEmpty()) {
            Job victim = running.stream().max(MOST_URGENT).orElseThrow();
            if (victim.priority <= next.priority) {
                return false;
            }
            running.remove(victim);
            victim.prefilled = 0;
            waiting.add(victim);
            waiting.sort(MOST_URGENT);
        }
        return true;
    }

    private void step() {
        double budget = pieceTokens;
        running.sort(prefillOrder);
        for (Job job : running) {
            double part = Math.min(budget, job.promptTokens - job.prefilled);
            if (part > 0) {
                job.prefilled += part;
                budget -= part;
            }
        }
        freeAtMillis += durationFactor
                * (STEP_MILLIS + running.size() * STEP_MILLIS_PER_REQUEST + (pieceTokens - budget) / tokensPerMilli);
        for (Job job : List.copyOf(running)) {
            if (!job.isPrefilled()) {
                continue;
            }
            job.generated++;
            if (Double.isNaN(job.firstTokenMillis)) {
                job.firstTokenMillis = freeAtMillis;
            }
            if (job.generated >= job.outputTokens) {
                job.endMillis = freeAtMillis;
                running.remove(job);
            }
        }
    }

    private static long tokens(List<Job> jobs) {
        return jobs.stream().mapToLong(SimulatedEngine::tokens).sum();
    }

    private static long tokens(Job job) {
        return (long) job.promptTokens + job.outputTokens;
    }
}
