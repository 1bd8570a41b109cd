package dev.zinniaring.membership;

import java.time.Duration;

/**
 * Periods and timeouts of the membership protocol.
 *
 * @param tick how often timers are looked at
 * @param probePeriod from one probe of a node to its next
 * @param directTimeout until helpers are asked
 * @param suspicion time to refute in a zone of up to 10 members
 * @param gossipPeriod between datagrams that spread updates, while there are any
 * @param exchangePeriod between digests of the member list
 * @param seedPeriod between digests that gateways send to a random seed
 * @param joinFirst bound of the first delay between attempts to join
 * @param joinMax largest bound of the delay between attempts to join
 * @param memory how long members that died or left are remembered
 */
public record GossipTimings(
        Duration tick,
        Duration probePeriod,
        Duration directTimeout,
        Duration suspicion,
        Duration gossipPeriod,
        Duration exchangePeriod,
        Duration seedPeriod,
        Duration joinFirst,
        Duration joinMax,
        Duration memory) {
    /** Returns the timings of a node, which detect a death in about 3 s. */
    public static GossipTimings defaults() {
        return new GossipTimings(
                Duration.ofMillis(100),
                Duration.ofSeconds(1),
                Duration.ofMillis(400),
                Duration.ofMillis(1_200),
                Duration.ofMillis(200),
                Duration.ofSeconds(1),
                Duration.ofSeconds(10),
                Duration.ofMillis(100),
                Duration.ofSeconds(10),
                Duration.ofMinutes(10));
    }
}
