package io.agatelane.lab.capacity;

import java.util.function.Supplier;

/** Measures the heap memory that an object retains. */
final class Heap {
    private static final int GC_RUNS = 4;

    private Heap() {}

    /** An object with the bytes that it and all objects reachable from it use. */
    record Measured<T>(T value, long bytes) {}

    /** Builds an object and compares the used heap before and after. */
    static <T> Measured<T> measure(Supplier<T> builder) {
        long before = usedBytes();
        T value = builder.get();
        long after = usedBytes();
        return new Measured<>(value, Math.max(0, after - before));
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
