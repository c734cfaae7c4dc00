package io.agatelane.node.fleet;

import io.agatelane.core.fleet.CrashReport;
import io.agatelane.core.fleet.PartReport;
import io.agatelane.core.fleet.PeerLoad;
import io.agatelane.core.fleet.PlacementIndex.Placement;
import io.agatelane.core.fleet.PrefillBacklog;
import io.agatelane.wire.peer.CrashReportEntry;
import io.agatelane.wire.peer.LoadDigest;
import io.agatelane.wire.peer.LoadedWeightsEntry;
import io.agatelane.wire.peer.PartReportEntry;
import io.agatelane.wire.peer.PlacementEntry;
import io.agatelane.wire.peer.UpstreamLoadEntry;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/** Converts between the parts of a gossiped load digest and the router's own types. */
final class DigestCodec {
    private static final double PERCENT = 100;

    private DigestCodec() {}

    static void addLoads(LoadDigest.Builder digest, List<PeerLoad> loads) {
        loads.forEach(load -> digest.addLoads(UpstreamLoadEntry.newBuilder()
                .setUpstream(load.upstream())
                .setInFlight(load.inFlight())
                .addAllPrefillMillis(load.backlog().wholeMillisByPriority())
                .setSilentMillis(load.oldestUnansweredMillis())
                .setFailuresPercent((int) Math.round(load.failures() * PERCENT))
                .setMemoryTokens(load.memoryTokens())));
    }

    static List<PeerLoad> loads(LoadDigest digest) {
        return digest.getLoadsList().stream()
                .map(entry -> new PeerLoad(
                        entry.getUpstream(),
                        entry.getInFlight(),
                        PrefillBacklog.of(entry.getPrefillMillisList()),
                        entry.getSilentMillis(),
                        entry.getFailuresPercent() / PERCENT,
                        entry.getMemoryTokens()))
                .toList();
    }

    static void addEvents(LoadDigest.Builder digest, DigestEvents events) {
        events.crashes()
                .forEach(report -> digest.addCrashes(CrashReportEntry.newBuilder()
                        .setFingerprint(report.fingerprint())
                        .setReporter(report.reporter())
                        .setCount(report.count())));
        events.partReports().forEach(report -> digest.addPartReports(encode(report)));
        events.placements()
                .forEach(placement -> digest.addPlacements(PlacementEntry.newBuilder()
                        .setPart(placement.part())
                        .setHolder(placement.holder())
                        .setTokens(placement.tokens())));
    }

    static DigestEvents events(LoadDigest digest) {
        return new DigestEvents(
                digest.getPlacementsList().stream()
                        .map(entry -> new Placement(entry.getPart(), entry.getHolder(), entry.getTokens()))
                        .toList(),
                digest.getCrashesList().stream()
                        .map(entry -> new CrashReport(entry.getFingerprint(), entry.getReporter(), entry.getCount()))
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

    static void addHints(LoadDigest.Builder digest, RolloutHints hints) {
        digest.addAllReserved(hints.reserved());
        hints.loaded()
                .forEach((loaded, version) -> digest.addLoaded(LoadedWeightsEntry.newBuilder()
                        .setUpstream(loaded.upstream())
                        .setModel(loaded.model())
                        .setVersion(version)));
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
