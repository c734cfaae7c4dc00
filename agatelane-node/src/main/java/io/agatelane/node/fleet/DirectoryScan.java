package io.agatelane.node.fleet;

import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.node.api.DirectoryPage;
import io.agatelane.node.api.FleetReadResult;
import io.agatelane.node.api.FleetSource;
import io.agatelane.node.api.StoreContentId;
import io.agatelane.node.api.StoreContentId.EntrySetId;
import io.agatelane.node.api.TimerService;
import io.agatelane.node.util.EventLog;
import io.agatelane.node.util.Futures;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Predicate;

/**
 * Reads a directory of upstreams that is longer than one read of the store, page by page. Runs on the control thread.
 *
 * <p>Until a scan is complete, the upstreams of the one before are used; those found so far if there was none. A page that
 * cannot be read is read again with the next read of the store. Scans take up to half of the time, so that a directory
 * that takes long to read does not occupy the store and this router all the time.
 */
final class DirectoryScan {
    private static final EventLog LOG = EventLog.of(DirectoryScan.class);
    // A directory whose scan takes this long is outdated when it is complete.
    private static final long SLOW_MILLIS = 2_000;

    private final FleetSource source;
    private final TimerService timers;
    private final Executor control;
    private final Predicate<Directory> listener;
    private Optional<Directory> complete = Optional.empty();
    private Optional<Progress> progress = Optional.empty();
    private long pausedUntilMillis = Long.MIN_VALUE;

    /**
     * The upstreams that the store lists.
     *
     * @param entries identifies the entries that were read
     * @param mayBeStale whether recent writes may be missing
     */
    record Directory(long era, List<FleetUpstream> upstreams, EntrySetId entries, boolean mayBeStale) {
        private Directory with(DirectoryPage page) {
            List<FleetUpstream> all = new ArrayList<>(upstreams);
            all.addAll(page.upstreams());
            return new Directory(era, all, entries.union(page.entries()), mayBeStale);
        }
    }

    private static final class Progress {
        private final long startedMillis;
        private Directory found;
        private String after;
        private boolean pageInFlight;

        private Progress(long startedMillis, Directory found, String after) {
            this.startedMillis = startedMillis;
            this.found = found;
            this.after = after;
        }
    }

    /**
     * Creates a scan that is not running.
     *
     * @param listener called with each directory that is more recent; returns whether it can be used
     */
    DirectoryScan(FleetSource source, TimerService timers, Executor control, Predicate<Directory> listener) {
        this.source = source;
        this.timers = timers;
        this.control = control;
        this.listener = listener;
    }

    /**
     * Returns a read of the store with the upstreams to use, and begins or continues a scan if the read lacks some.
     *
     * @param mayBeStale whether the read, and so the scan that it begins, may lack recent writes
     */
    FleetReadResult complete(FleetReadResult read, boolean mayBeStale) {
        long era = read.content().era();
        Directory listed =
                new Directory(era, read.view().upstreams(), read.content().upstreamEntries(), mayBeStale);
        if (read.restOfDirectory().isEmpty()) {
            complete = Optional.of(listed);
            progress = Optional.empty();
            return read;
        }
        complete = complete.filter(directory -> directory.era() == era);
        progress = progress.filter(running -> running.found.era() == era);
        if (progress.isEmpty() && timers.monotonicMillis() >= pausedUntilMillis) {
            progress = Optional.of(new Progress(
                    timers.monotonicMillis(), listed, read.restOfDirectory().get()));
        }
        Directory used =
                complete.or(() -> progress.map(running -> running.found)).orElse(listed);
        progress.ifPresent(this::readPage);
        return withDirectory(read, used);
    }

    private static FleetReadResult withDirectory(FleetReadResult read, Directory directory) {
        FleetView view = read.view();
        return new FleetReadResult(
                new FleetView(
                        view.config(), directory.upstreams(), view.newestWeightsVersions(), view.reservedUpstreamIds()),
                new StoreContentId(read.content().era(), read.content().operatorEntries(), directory.entries()),
                read.routerEntries(),
                read.restOfDirectory());
    }

    private void readPage(Progress running) {
        if (running.pageInFlight) {
            return;
        }
        running.pageInFlight = true;
        Futures.whenDone(source.readDirectory(running.after, running.found.mayBeStale()), control, (page, failure) -> {
            running.pageInFlight = false;
            if (progress.isEmpty() || progress.get() != running) {
                return;
            }
            if (failure != null) {
                LOG.event("directory_page_not_read")
                        .with("after", running.after)
                        .with("reason", failure.getMessage())
                        .with("action", "retried")
                        .info();
            } else if (page.era() != running.found.era()) {
                progress = Optional.empty();
            } else {
                add(running, page);
            }
        });
    }

    private void add(Progress running, DirectoryPage page) {
        running.found = running.found.with(page);
        if (page.next().isPresent()) {
            running.after = page.next().get();
            readPage(running);
            if (complete.isEmpty() && !page.upstreams().isEmpty()) {
                var unused = listener.test(running.found);
            }
            return;
        }
        progress = Optional.empty();
        long tookMillis = timers.monotonicMillis() - running.startedMillis;
        if (listener.test(running.found)) {
            complete = Optional.of(running.found);
            pausedUntilMillis = timers.monotonicMillis() + tookMillis;
        }
        if (tookMillis >= SLOW_MILLIS) {
            LOG.event("directory_scan_slow")
                    .with("took_ms", tookMillis)
                    .with("upstreams", running.found.upstreams().size())
                    .warning();
        }
    }

    /** Forgets a page that was requested and never returned, so that the next read of the store requests it again. */
    void restart() {
        progress = Optional.empty();
    }
}
