package dev.zinniaring.calls;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps a few slots of a backend server free for urgent calls while there are such calls. It
 * answers a flood of long calls: lookups that other backend servers wait for, with a target of a
 * tenth of a second, would otherwise wait for a long call to end, and each one lost costs the run
 * that waits for it.
 *
 * <p>A call is urgent if its rank is more urgent than another rank seen here lately, or if its
 * target is at most half of another one.
 */
final class SlotReservation {
    /** Kinds of calls that have not come for this long are forgotten. */
    private static final long MEMORY_NANOS = 10_000_000_000L;

    private static final int TARGET_RATIO = 2;

    /** One slot in so many is kept free, and one at least. */
    private static final int SLOTS_PER_FREE_ONE = 7;

    private final Map<Kind, Long> seenNanos = new HashMap<>();

    private record Kind(int rankOrder, long targetMillis) {}

    /** Records a call and returns whether it is urgent. */
    boolean isUrgent(int rankOrder, long targetMillis, long nowNanos) {
        seenNanos.put(new Kind(rankOrder, targetMillis), nowNanos);
        seenNanos.values().removeIf(seen -> nowNanos - seen > MEMORY_NANOS);
        return urgent(new Kind(rankOrder, targetMillis));
    }

    private boolean urgent(Kind kind) {
        for (Kind other : seenNanos.keySet()) {
            boolean before = kind.rankOrder() < other.rankOrder();
            boolean after = kind.rankOrder() > other.rankOrder();
            if (before || (!after && kind.targetMillis() * TARGET_RATIO <= other.targetMillis())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the slots that calls which are not urgent may use. */
    int commonSlots(int slots) {
        boolean any = seenNanos.keySet().stream().anyMatch(this::urgent);
        int free = any ? (slots + SLOTS_PER_FREE_ONE - 1) / SLOTS_PER_FREE_ONE : 0;
        return Math.max(1, slots - free);
    }
}
