package dev.zinniaring.admission;

import java.util.HashSet;
import java.util.Set;

/**
 * The crashes that a request was in flight at, and those that a completed run has cleared it of.
 * Immutable. Both sets only grow, so that records of several nodes can be united in any order.
 */
record Suspicion(Set<String> crashes, Set<String> cleared, long lastCrashNanos) {
    /** Later crashes of one request add nothing: it is held long before. */
    private static final int MAX_CRASHES = 8;

    Suspicion {
        crashes = Set.copyOf(crashes);
        cleared = Set.copyOf(cleared);
    }

    static Suspicion of(String crash, long nowNanos) {
        return new Suspicion(Set.of(crash), Set.of(), nowNanos);
    }

    /** Returns the crashes that nothing has cleared it of. */
    Set<String> active() {
        if (cleared.isEmpty()) {
            return crashes;
        }
        Set<String> active = new HashSet<>(crashes);
        active.removeAll(cleared);
        return active;
    }

    Suspicion clear() {
        return new Suspicion(crashes, crashes, lastCrashNanos);
    }

    Suspicion unite(Suspicion other) {
        Set<String> clearedByEither = new HashSet<>(cleared);
        clearedByEither.addAll(other.cleared);
        Set<String> united = new HashSet<>(crashes);
        for (String crash : other.crashes) {
            if (united.size() < MAX_CRASHES) {
                united.add(crash);
            }
        }
        clearedByEither.retainAll(united);
        long lastNanos =
                other.lastCrashNanos - lastCrashNanos > 0 ? other.lastCrashNanos : lastCrashNanos;
        return new Suspicion(united, clearedByEither, lastNanos);
    }
}
