package io.agatelane.node.fleet;

import io.agatelane.core.fleet.CrashReport;
import io.agatelane.core.fleet.DurationEvidence;
import io.agatelane.core.fleet.PartReport;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PlacementIndex.Placement;
import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.core.fleet.ReportedSlowness;
import io.agatelane.core.fleet.ServiceDemand;
import io.agatelane.core.fleet.UpstreamPace;
import io.agatelane.core.fleet.UpstreamRange;
import io.agatelane.core.limits.AccountDemand;
import io.agatelane.wire.peer.AccountDemandEntry;
import io.agatelane.wire.peer.CrashReportEntry;
import io.agatelane.wire.peer.LoadDigest;
import io.agatelane.wire.peer.LoadedWeightsEntry;
import io.agatelane.wire.peer.PartReportEntry;
import io.agatelane.wire.peer.PlacementEntry;
import io.agatelane.wire.peer.ServiceDemandEntry;
import io.agatelane.wire.peer.UpstreamLoadEntry;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Converts between the parts of a gossiped load digest and the router's own types. */
final class DigestCodec {
    private static final int CRASHED = 1;
    private static final int CLEARED = -1;
    private static final double PERCENT = 100;
    // An older report of a momentary slowness says nothing any more, so it is not passed on.
    private static final long MAX_SLOWNESS_AGE_MILLIS = 3_000;

    private DigestCodec() {}

    static UpstreamLoadEntry encode(PeerLoad load) {
        UpstreamLoadEntry.Builder entry = UpstreamLoadEntry.newBuilder()
                .setUpstream(load.upstream())
                .setInFlight(load.inFlight())
                .addAllPrefillMillis(load.backlog().wholeMillisByPriority())
                .setSilentMillis(load.oldestUnansweredMillis())
                .setFailuresPercent((int) Math.round(load.failures() * PERCENT))
                .setMemoryTokens(load.memoryTokens())
                .setRemainingMillis((int) Math.round(load.remainingMillis()));
        addPace(entry, load.pace());
        return entry.build();
    }

    private static void addPace(UpstreamLoadEntry.Builder entry, UpstreamPace pace) {
        DurationEvidence evidence = pace.evidence();
        int weightPercent = percent(evidence.weight());
        if (weightPercent > 0) {
            entry.setDurationPercent(percent(evidence.meanDuration()))
                    .setDurationWeightPercent(weightPercent)
                    .setMeanSlownessPercent(percent(evidence.meanSlowness()));
        }
        ReportedSlowness slowness = pace.slowness();
        if (slowness.ageMillis() <= MAX_SLOWNESS_AGE_MILLIS) {
            entry.setSlownessPercent(slowness.percent()).setSlownessAgeMillis((int) slowness.ageMillis());
        }
    }

    private static UpstreamPace pace(UpstreamLoadEntry entry) {
        DurationEvidence evidence = DurationEvidence.ofMeans(
                entry.getDurationWeightPercent() / PERCENT,
                entry.getDurationPercent() / PERCENT,
                entry.getMeanSlownessPercent() / PERCENT);
        ReportedSlowness slowness = entry.getSlownessPercent() > 0
                ? new ReportedSlowness(entry.getSlownessPercent(), Math.max(0, entry.getSlownessAgeMillis()))
                : ReportedSlowness.NONE;
        return new UpstreamPace(evidence, slowness);
    }

    private static int percent(double factor) {
        return (int) Math.round(factor * PERCENT);
    }

    /** The range of upstreams that a datagram covers; all of them in a digest of an earlier build. */
    static UpstreamRange range(LoadDigest digest) {
        return digest.hasFirstUpstream() && digest.hasLastUpstream()
                ? new UpstreamRange(digest.getFirstUpstream(), digest.getLastUpstream())
                : UpstreamRange.ALL;
    }

    static List<PeerLoad> loads(LoadDigest digest) {
        return digest.getLoadsList().stream()
                .map(entry -> new PeerLoad(
                        entry.getUpstream(),
                        entry.getInFlight(),
                        PrefillBacklog.of(entry.getPrefillMillisList()),
                        entry.getSilentMillis(),
                        entry.getFailuresPercent() / PERCENT,
                        entry.getMemoryTokens(),
                        Math.max(0, entry.getRemainingMillis()),
                        pace(entry)))
                .toList();
    }

    static List<CrashReportEntry> crashes(DigestEvents events) {
        return events.crashes().stream()
                .map(report -> CrashReportEntry.newBuilder()
                        .setFingerprint(report.fingerprint())
                        .setCrash(report.crash())
                        .setCount(report.isClearance() ? CLEARED : CRASHED)
                        .setAgeMillis((int) Math.min(Integer.MAX_VALUE, report.ageMillis()))
                        .setAnswered(report.wasAnswered())
                        .build())
                .toList();
    }

    static List<PartReportEntry> partReports(DigestEvents events) {
        return events.partReports().stream().map(DigestCodec::encode).toList();
    }

    static List<PlacementEntry> placements(DigestEvents events) {
        return events.placements().stream()
                .map(placement -> PlacementEntry.newBuilder()
                        .setPart(placement.part())
                        .setHolder(placement.holder())
                        .setTokens(placement.tokens())
                        .build())
                .toList();
    }

    static DigestEvents events(LoadDigest digest) {
        return new DigestEvents(
                digest.getPlacementsList().stream()
                        .map(entry -> new Placement(entry.getPart(), entry.getHolder(), entry.getTokens()))
                        .toList(),
                digest.getCrashesList().stream()
                        .map(entry -> new CrashReport(
                                entry.getFingerprint(),
                                entry.getCrash(),
                                Math.max(0, entry.getAgeMillis()),
                                entry.getAnswered(),
                                entry.getCount() < 0))
                        .toList(),
                digest.getPartReportsList().stream().map(DigestCodec::decode).toList());
    }

    private static PartReportEntry encode(PartReport report) {
        PartReportEntry.Builder entry =
                PartReportEntry.newBuilder().setPart(report.part()).setAgeMillis(report.ageMillis());
        report.engine().ifPresent(entry::setEngine);
        return entry.build();
    }

    private static PartReport decode(PartReportEntry entry) {
        OptionalLong engine = entry.hasEngine() ? OptionalLong.of(entry.getEngine()) : OptionalLong.empty();
        return new PartReport(entry.getPart(), engine, Math.max(0, entry.getAgeMillis()));
    }

    static List<LoadedWeightsEntry> loadedWeights(RolloutHints hints) {
        return hints.loaded().entrySet().stream()
                .map(loaded -> LoadedWeightsEntry.newBuilder()
                        .setUpstream(loaded.getKey().upstream())
                        .setModel(loaded.getKey().model())
                        .setVersion(loaded.getValue())
                        .build())
                .toList();
    }

    static List<AccountDemandEntry> accounts(List<AccountDemand> demands) {
        return demands.stream()
                .map(demand -> AccountDemandEntry.newBuilder()
                        .setAccount(demand.account())
                        .setDemandPerSecond(demand.demandPerSecond())
                        .setAdmittedPerSecond(demand.admittedPerSecond())
                        .build())
                .toList();
    }

    static Map<Long, AccountDemand> accounts(LoadDigest digest) {
        return digest.getAccountsList().stream()
                .map(entry -> new AccountDemand(
                        entry.getAccount(),
                        Math.max(0, entry.getDemandPerSecond()),
                        Math.max(0, entry.getAdmittedPerSecond())))
                .collect(Collectors.toMap(AccountDemand::account, Function.identity(), AccountDemand::plus));
    }

    static List<ServiceDemandEntry> services(List<ServiceDemand> demands) {
        return demands.stream()
                .map(demand -> ServiceDemandEntry.newBuilder()
                        .setService(demand.key().service())
                        .setAccount(demand.key().account())
                        .setPriority(demand.key().priority())
                        .setDemandMillisPerSecond(demand.demandMillisPerSecond())
                        .setAdmittedMillisPerSecond(demand.admittedMillisPerSecond())
                        .setWaiting(demand.waiting())
                        .setInFlight(demand.inFlight())
                        .build())
                .toList();
    }

    static Map<ServiceDemand.Key, ServiceDemand> services(LoadDigest digest) {
        return digest.getServicesList().stream()
                .map(entry -> new ServiceDemand(
                        new ServiceDemand.Key(entry.getService(), entry.getAccount(), entry.getPriority()),
                        Math.max(0, entry.getDemandMillisPerSecond()),
                        Math.max(0, entry.getAdmittedMillisPerSecond()),
                        Math.max(0, entry.getWaiting()),
                        Math.max(0, entry.getInFlight())))
                .collect(Collectors.toMap(ServiceDemand::key, Function.identity(), ServiceDemand::plus));
    }

    static RolloutHints hints(LoadDigest digest) {
        Map<ModelOnUpstream, Long> loaded = digest.getLoadedList().stream()
                .collect(Collectors.toMap(
                        entry -> new ModelOnUpstream(entry.getUpstream(), entry.getModel()),
                        LoadedWeightsEntry::getVersion,
                        Math::max));
        return new RolloutHints(new HashSet<>(digest.getReservedList()), loaded);
    }
}
