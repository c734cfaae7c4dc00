package io.agatelane.node.io.service;

import java.util.concurrent.atomic.AtomicInteger;

/** Load and reachability of an instance of a plain service, as seen by this router. Thread-safe. */
final class ServiceInstance {
    private static final int FAILED_REPORTS_UNTIL_DEAD = 2;

    final String name;
    final String baseUrl;
    final AtomicInteger outstandingCalls = new AtomicInteger();
    private volatile Report report = new Report(0, 0, 0, false);
    private final AtomicInteger failedReports = new AtomicInteger();

    ServiceInstance(String name, String baseUrl) {
        this.name = name;
        this.baseUrl = baseUrl;
    }

    /**
     * Records a load report; the instance counts as alive again.
     *
     * @param outstandingAtReport outstanding calls of this router that the report already includes
     */
    void recordReport(int running, int waiting, int outstandingAtReport, boolean draining) {
        report = new Report(running, waiting, outstandingAtReport, draining);
        failedReports.set(0);
    }

    /** Records that the instance sent no load report or was not reachable. */
    void recordReportFailure() {
        failedReports.incrementAndGet();
    }

    /** Records a refused connection: the instance counts as dead until its next load report. */
    void markUnreachable() {
        failedReports.set(FAILED_REPORTS_UNTIL_DEAD);
    }

    boolean isDead() {
        return failedReports.get() >= FAILED_REPORTS_UNTIL_DEAD;
    }

    boolean isDraining() {
        return report.draining;
    }

    /**
     * Estimates the calls at the instance: those of its last report, corrected by the calls of this router that began or
     * ended since.
     */
    double estimatedCalls() {
        Report last = report;
        int outstandingNow = outstandingCalls.get();
        return Math.max(outstandingNow, last.running + last.waiting + outstandingNow - last.outstandingAtReport);
    }

    private record Report(int running, int waiting, int outstandingAtReport, boolean draining) {}
}
