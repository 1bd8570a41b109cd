package dev.zinniaring.admission;

import java.util.Set;

/**
 * A request that was in flight when backend servers crashed, in the form that is sent to other
 * nodes. Merging these records is commutative and idempotent.
 *
 * @param fingerprint hash of the request
 * @param crashes ids of the crashes at which it was in flight
 * @param cleared ids of those crashes that a later completed run of the request has cleared
 * @param ageMillis time since the last crash
 */
public record Suspect(long fingerprint, Set<String> crashes, Set<String> cleared, long ageMillis) {
    /** Copies the sets. */
    public Suspect {
        crashes = Set.copyOf(crashes);
        cleared = Set.copyOf(cleared);
    }
}
