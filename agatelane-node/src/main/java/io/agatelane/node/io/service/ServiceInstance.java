package io.agatelane.node.io.service;

import java.util.concurrent.atomic.AtomicInteger;

/** What this router knows about an instance of a plain service. Safe on every thread. */
final class Instance {
    private static final int FAILED_REPORTS_UNTIL_DEAD = 2;

    final String name;
    final String baseUrl;
    final AtomicInteger outstanding = new AtomicInteger();
    private volatile Report report = new Report(0, 0, 0, false);
    private final AtomicInteger failedReports = new AtomicInteger();

    Instance(String name, String baseUrl) {
        this.name = name;
        this.baseUrl = baseUrl;
    }

    /**
     * Takes a load report.
     *
     * @param outstandingAtReport calls of this router that the report already counts
     */
    void reported(int running, int waiting, int outstandingAtReport, boolean draining) {
        report = new Report(running, waiting, outstandingAtReport, draining);
        failedReports.set(0);
    }

    /** The instance gave no report, or was not reachable for a report. */
    void reportFailed() {
        failedReports.incrementAndGet();
    }

    /** The instance refused a connection. It gets no call until it reports again. */
    void unreachable() {
        failedReports.set(FAILED_REPORTS_UNTIL_DEAD);
    }

    boolean isDead() {
        return failedReports.get() >= FAILED_REPORTS_UNTIL_DEAD;
    }

    boolean isDraining() {
        return report.draining;
    }

    /** Calls at the instance: those of its report, corrected by what this router sent and saw finish since. */
    double calls() {
        Report last = report;
        int sent = outstanding.get();
        return Math.max(sent, last.running + last.waiting + sent - last.outstandingAtReport);
    }

    private record Report(int running, int waiting, int outstandingAtReport, boolean draining) {}
}
