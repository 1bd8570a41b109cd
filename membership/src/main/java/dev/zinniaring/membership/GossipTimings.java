package dev.zinniaring.membership;

import java.time.Duration;

/**
 * Periods and timeouts of the membership protocol.
 *
 * @param tickPeriod how often the protocol's timers are checked
 * @param probePeriod time between two probes sent by a node
 * @param directTimeout time without an answer to a direct probe after which helpers are asked to
 *     probe
 * @param suspicionTimeout time that a suspected member has to refute, in a zone of up to 10 members
 * @param gossipPeriod time between datagrams that disseminate updates, while any are pending
 * @param exchangePeriod time between digests of the member list sent to neighbours
 * @param seedPeriod time between digests that each gateway sends to a random seed
 * @param initialJoinBackoff upper bound of the first delay between join attempts
 * @param maxJoinBackoff largest upper bound of the delay between join attempts
 * @param tombstoneRetention how long tombstones of members that died or left are kept
 */
public record GossipTimings(
        Duration tickPeriod,
        Duration probePeriod,
        Duration directTimeout,
        Duration suspicionTimeout,
        Duration gossipPeriod,
        Duration exchangePeriod,
        Duration seedPeriod,
        Duration initialJoinBackoff,
        Duration maxJoinBackoff,
        Duration tombstoneRetention) {
    /** Returns the default timings, with which a crash is detected in about 3 s. */
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
