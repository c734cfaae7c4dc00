package io.agatelane.lab.capacity;

/** Measures the elapsed time of repeated work on the calling thread. */
final class Timing {
    private static final int WARM_UP_DIVISOR = 2;
    private static final double NANOS_PER_MICRO = 1_000;

    private Timing() {}

    /** Returns the average microseconds of one repetition, after a warm-up with half as many repetitions. */
    static double micros(int repetitions, Work work) {
        for (int i = 0; i < repetitions / WARM_UP_DIVISOR; i++) {
            work.run(i);
        }
        long startNanos = System.nanoTime();
        for (int i = 0; i < repetitions; i++) {
            work.run(i);
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / repetitions;
    }

    /** One repetition. */
    @FunctionalInterface
    interface Work {
        void run(int index);
    }
}
