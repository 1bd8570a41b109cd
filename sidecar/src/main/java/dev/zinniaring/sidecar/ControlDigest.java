package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.ClockReading;

/**
 * What a node tells its peers about keys and the leader.
 *
 * @param keyAgeMillis time since its configuration was known to be the newest
 * @param leaderTerm term of the leader that it follows, 0 if none
 * @param leaderAddress {@code ip:port} of that leader, empty if none
 */
record ControlDigest(long keyAgeMillis, long leaderTerm, String leaderAddress) {
    /** Digest of a node that has nothing to agree on with others. */
    static final ControlDigest NONE = new ControlDigest(ClockReading.UNKNOWN_MILLIS, 0, "");
}
