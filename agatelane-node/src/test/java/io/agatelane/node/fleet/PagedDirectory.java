package io.agatelane.node.fleet;

import io.agatelane.core.failure.AgatelaneException;
import io.agatelane.core.failure.FailureType;
import io.agatelane.core.fleet.CallerLimits;
import io.agatelane.core.fleet.FleetConfig;
import io.agatelane.core.fleet.FleetUpstream;
import io.agatelane.core.fleet.FleetView;
import io.agatelane.node.api.DirectoryPage;
import io.agatelane.node.api.FleetReadResult;
import io.agatelane.node.api.FleetSource;
import io.agatelane.node.api.StoreContentId;
import io.agatelane.node.api.StoreContentId.EntrySetId;
import io.agatelane.node.fakes.FakeControl;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** A store whose reads return one upstream, and whose pages of the directory return another one each after a delay. */
final class PagedDirectory implements FleetSource {
    private final FakeControl control;
    private final long pageMillis;
    private int upstreams;
    private long version = 1;
    private boolean failing;
    private int staleUpstreams = -1;

    PagedDirectory(FakeControl control, int upstreams, long pageMillis) {
        this.control = control;
        this.upstreams = upstreams;
        this.pageMillis = pageMillis;
    }

    void configure(long newVersion) {
        version = newVersion;
    }

    void setUpstreams(int count) {
        upstreams = count;
    }

    void failPages(boolean isFailing) {
        failing = isFailing;
    }

    /** From now on possibly stale reads and pages list this number of upstreams. */
    void setStaleUpstreams(int count) {
        staleUpstreams = count;
    }

    /** Identifies what newest reads show. */
    StoreContentId content() {
        return content(upstreams);
    }

    private StoreContentId content(int count) {
        return new StoreContentId(0, new EntrySetId(version, version), entries(0, count));
    }

    private static EntrySetId entries(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> new EntrySetId(1, i + 1L))
                .reduce(EntrySetId.NONE, EntrySetId::union);
    }

    @Override
    public CompletableFuture<FleetReadResult> read() {
        return read(upstreams);
    }

    @Override
    public CompletableFuture<FleetReadResult> readPossiblyStale() {
        return read(staleUpstreams < 0 ? upstreams : staleUpstreams);
    }

    private CompletableFuture<FleetReadResult> read(int count) {
        CallerLimits limits = new CallerLimits(1_000, 1_000, 1_000, 1_000);
        FleetConfig config = new FleetConfig(version, List.of(), Map.of(), List.of(), Map.of(), false, limits);
        FleetView view = new FleetView(Optional.of(config), upstreams(0, 1), Map.of(), Set.of());
        return CompletableFuture.completedFuture(
                new FleetReadResult(view, content(1), List.of(), count > 1 ? Optional.of("0") : Optional.empty()));
    }

    @Override
    public CompletableFuture<DirectoryPage> readDirectory(String after, boolean mayBeStale) {
        if (failing) {
            return CompletableFuture.failedFuture(
                    new AgatelaneException(FailureType.PLATFORM_UNAVAILABLE, "the page is not served"));
        }
        int index = Integer.parseInt(after) + 1;
        int count = mayBeStale && staleUpstreams >= 0 ? staleUpstreams : upstreams;
        CompletableFuture<DirectoryPage> page = new CompletableFuture<>();
        control.after(
                pageMillis,
                () -> page.complete(new DirectoryPage(
                        upstreams(index, index + 1),
                        entries(index, index + 1),
                        0,
                        index + 1 < count ? Optional.of(after(index)) : Optional.empty())));
        return page;
    }

    private static String after(int index) {
        return Integer.toString(index);
    }

    private List<FleetUpstream> upstreams(int from, int to) {
        return IntStream.range(from, Math.min(to, upstreams))
                .mapToObj(i -> new FleetUpstream("e" + i, 1, "s", "10.0.0.1:" + (8_000 + i), "z", 8, false, Map.of()))
                .toList();
    }
}
