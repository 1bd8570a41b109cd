package dev.zinniaring.admission;

import java.util.Set;

/**
 * What is known of a request that was in flight when backend servers crashed, for spreading to
 * other nodes. Merging is commutative and idempotent.
 *
 * @param fingerprint hash of the request
 * @param crashes ids of the crashes that it was in flight at
 * @param cleared ids of those crashes that a completed run has cleared it of
 * @param ageMillis time since the last crash
 */
public record Suspect(long fingerprint, Set<String> crashes, Set<String> cleared, long ageMillis) {
    /** Copies the sets. */
    public Suspect {
        crashes = Set.copyOf(crashes);
        cleared = Set.copyOf(cleared);
    }
}
