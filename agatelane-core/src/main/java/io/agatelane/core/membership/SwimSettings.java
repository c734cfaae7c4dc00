package io.agatelane.core.membership;

/**
 * Timing and limits of the protocol.
 *
 * @param probePeriodMillis time between two probes that a member sends
 * @param ackTimeoutMillis time without an acknowledgement after which an indirect probe is started
 * @param indirectProbes number of members that are asked for an indirect probe
 * @param suspicionMillis time that a suspect has to refute the suspicion; members that receive the suspicion from
 *     others wait twice as long, so that the refutation can reach them
 * @param maxPacketBytes size limit of a packet without IP and UDP headers
 * @param disseminationFactor an update is sent at most this factor times {@code ceil(log2(n + 1))} times
 * @param gossipPeriodMillis time between gossip packets, which only carry updates
 * @param gossipFanout number of members that receive such a packet
 * @param hintPeriodMillis time between rounds of sending hints
 * @param healPeriodMillis time between anti-entropy rounds, which contact a random member and addresses of members
 *     that are not reachable here
 * @param forgetMillis time after which a dead member is removed from the table
 * @param sendBytesPerSecond limit of the sustained rate of sent bytes, headers included
 * @param burstBytes limit of the bytes sent at once
 */
public record SwimSettings(
        long probePeriodMillis,
        long ackTimeoutMillis,
        int indirectProbes,
        long suspicionMillis,
        int maxPacketBytes,
        int disseminationFactor,
        long gossipPeriodMillis,
        int gossipFanout,
        long hintPeriodMillis,
        long healPeriodMillis,
        long forgetMillis,
        int sendBytesPerSecond,
        int burstBytes) {
    /**
     * Values of section 6.4 of the design document. Half of the budget of 22 KB/s per member is for sending: each sent
     * byte is received once, so sent and received bytes together stay within the budget on average.
     */
    public static final SwimSettings DEFAULT =
            new SwimSettings(500, 250, 3, 2_000, 1_200, 3, 200, 2, 250, 30_000, 600_000, 11_000, 22_000);

    /** Returns how many times a member sends one update at most in a group of this many members. */
    public int disseminationLimit(int members) {
        return disseminationFactor * (Integer.SIZE - Integer.numberOfLeadingZeros(members));
    }
}
