package io.agatelane.node.config;

import io.agatelane.node.api.Member;
import io.agatelane.node.api.MembershipView;
import io.agatelane.node.api.NodeContext;
import java.util.List;

/**
 * Finds the routers of this region. Members do not announce their region, so it is derived from the name of their
 * availability zone: zones are named after their region, for example {@code ch-nord-1} in {@code ch-nord}. The suffix
 * after the region has no further hyphen, so that region {@code ch} does not include the zones of {@code ch-nord}. When
 * the zone of this router does not follow this scheme, only the routers of its own zone are returned; the region then
 * has more watchers than needed, but never none.
 */
final class RegionMembers {
    private RegionMembers() {}

    static List<String> liveRouterNames(NodeContext context, MembershipView membership) {
        String ownZone = context.settings().availabilityZone();
        String region = context.settings().region();
        boolean ownZoneNamedAfterRegion = isNamedAfter(ownZone, region);
        return membership.liveMembers().stream()
                .filter(member -> member.availabilityZone().equals(ownZone)
                        || (ownZoneNamedAfterRegion && isNamedAfter(member.availabilityZone(), region)))
                .map(Member::name)
                .toList();
    }

    private static boolean isNamedAfter(String zone, String region) {
        int hyphen = zone.lastIndexOf('-');
        return hyphen > 0 && zone.substring(0, hyphen).equals(region);
    }
}
