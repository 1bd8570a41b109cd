package dev.zinniaring.distribution;

import java.time.Duration;

/**
 * Intervals and delays of the distribution.
 *
 * @param headPoll interval at which the reader of the first zone reads the head from the platform
 * @param backupPoll interval at which the readers of other zones read it; limits the delay of a
 *     change while the first zone is unreachable
 * @param digest interval between digests
 * @param endpointBatch time for which endpoint records are collected into one batch
 * @param startJitter maximum random delay before a starting node requests content
 * @param retry interval between repeated requests of a starting node
 * @param headAfter time without answers of a majority of seeds after which a starting node reads
 *     the head from the platform
 * @param bodyAfter time without a recorded version after which a starting node reads the body from
 *     the platform and records the version itself
 */
public record DistributionTimings(
        Duration headPoll,
        Duration backupPoll,
        Duration digest,
        Duration endpointBatch,
        Duration startJitter,
        Duration retry,
        Duration headAfter,
        Duration bodyAfter) {
    /** Returns the timings for production use. */
    public static DistributionTimings defaults() {
        return new DistributionTimings(
                Duration.ofMillis(500),
                Duration.ofSeconds(4),
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ofMillis(200),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                Duration.ofSeconds(5));
    }
}
