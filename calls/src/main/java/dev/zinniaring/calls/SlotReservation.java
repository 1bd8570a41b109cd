package dev.zinniaring.calls;

import java.util.HashMap;
import java.util.Map;

/**
 * Reserves a few slots of a backend server for urgent calls while such calls occur. Without the
 * reservation, a flood of long calls would delay lookups with a target of a tenth of a second until
 * a long call ends. Other backend servers wait for these lookups, so each lookup that times out
 * also wastes the run that depends on it.
 *
 * <p>A call is urgent if its rank is more urgent than another rank seen recently, or if its rank is
 * the same and its target is at most half of another recent target.
 */
final class SlotReservation {
    /** Classes of calls that have not been seen for this long are dropped. */
    private static final long RETENTION_NANOS = 10_000_000_000L;

    /**
     * A call is urgent compared with calls of its rank whose target is at least this many times as
     * long.
     */
    private static final int TARGET_RATIO = 2;

    /** One slot in this many is reserved, and at least one. */
    private static final int SLOTS_PER_RESERVED_SLOT = 7;

    /** Rank of the calls of accounts, whose own ranks only order them among themselves. */
    static final int LEAST_URGENT = Integer.MAX_VALUE;

    private final Map<CallClass, Long> seenNanos = new HashMap<>();

    private record CallClass(int rankOrder, long targetMillis) {}

    /** Records a call and returns whether it is urgent. */
    boolean isUrgent(int rankOrder, long targetMillis, long nowNanos) {
        seenNanos.put(new CallClass(rankOrder, targetMillis), nowNanos);
        seenNanos.values().removeIf(seen -> nowNanos - seen > RETENTION_NANOS);
        return urgent(new CallClass(rankOrder, targetMillis));
    }

    private boolean urgent(CallClass callClass) {
        for (CallClass other : seenNanos.keySet()) {
            boolean moreUrgent = callClass.rankOrder() < other.rankOrder();
            boolean lessUrgent = callClass.rankOrder() > other.rankOrder();
            if (moreUrgent
                    || (!lessUrgent
                            && callClass.targetMillis() * TARGET_RATIO <= other.targetMillis())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of slots that calls which are not urgent may use; at least 1. */
    int nonUrgentSlots(int slots) {
        int reserved =
                anyUrgent() ? (slots + SLOTS_PER_RESERVED_SLOT - 1) / SLOTS_PER_RESERVED_SLOT : 0;
        return Math.max(1, slots - reserved);
    }

    private boolean anyUrgent() {
        for (CallClass callClass : seenNanos.keySet()) {
            if (urgent(callClass)) {
                return true;
            }
        }
        return false;
    }
}
