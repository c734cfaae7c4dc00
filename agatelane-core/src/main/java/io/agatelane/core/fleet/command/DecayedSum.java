package io.agatelane.core.fleet.command;

/** Exponentially decayed sum of amounts, as an estimate of their rate. Not thread-safe. */
final class DecayedSum {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double timeConstantMillis;
    private double sum;
    private long updatedMillis;

    DecayedSum(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    void add(double amount, long nowMillis) {
        sum = decayed(nowMillis) + amount;
        updatedMillis = nowMillis;
    }

    double perSecond(long nowMillis) {
        return decayed(nowMillis) / timeConstantMillis * MILLIS_PER_SECOND;
    }

    private double decayed(long nowMillis) {
        return sum * Math.exp(-Math.max(0, nowMillis - updatedMillis) / timeConstantMillis);
    }
}
