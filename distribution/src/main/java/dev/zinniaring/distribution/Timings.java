package dev.zinniaring.distribution;

import java.time.Duration;

/**
 * How often a node does what.
 *
 * @param headPoll time between reads of the platform's head by the first zone's reader
 * @param backupPoll time between such reads by the readers of other zones; bounds how late a change
 *     is when the first zone is cut off
 * @param digest time between digests sent to one peer
 * @param endpointBatch time for which endpoint records are gathered into one batch
 * @param startJitter longest random delay before a starting node asks for content
 * @param retry time between repeated questions while starting
 * @param headAfter time without a majority of seeds after which a starting node reads the head
 * @param bodyAfter time without a recorded version after which a starting node reads the body from
 *     the platform and runs the record round itself
 */
public record Timings(
        Duration headPoll,
        Duration backupPoll,
        Duration digest,
        Duration endpointBatch,
        Duration startJitter,
        Duration retry,
        Duration headAfter,
        Duration bodyAfter) {
    /** Returns the timings for use outside of tests. */
    public static Timings standard() {
        return new Timings(
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
