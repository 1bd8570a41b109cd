package dev.zinniaring.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates that still have to be spread. Each is sent a number of times that grows with the
 * logarithm of the zone's size, those sent least first.
 */
final class Piggyback {
    /** Room for updates in a datagram, which leaves the rest for the greeting and the probe. */
    static final int MAX_BYTES = 800;

    private static final int MAX_UPDATES = 1_024;
    private static final int TRANSMISSIONS_PER_DOUBLING = 3;

    private final Map<String, Pending> pending = new HashMap<>();
    private long added;

    private static final class Pending {
        private final Member update;
        private final long order;
        private int sent;

        Pending(Member update, long order) {
            this.update = update;
            this.order = order;
        }
    }

    /** Returns how often an update is sent by one node. */
    static int transmissions(int zoneSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(zoneSize);
        return TRANSMISSIONS_PER_DOUBLING * Math.max(1, doublings);
    }

    /** Adds an update in place of an earlier one of the same node. */
    void add(Member update) {
        pending.put(update.nodeId(), new Pending(update, added++));
        if (pending.size() > MAX_UPDATES) {
            // The exchange of lists brings what is dropped here.
            pending.values().stream()
                    .max(LEAST_SENT_FIRST)
                    .ifPresent(p -> pending.remove(p.update.nodeId()));
        }
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    int size() {
        return pending.size();
    }

    /** Returns the updates for one datagram and counts them as sent. */
    List<Member> take(int zoneSize) {
        List<Member> chosen = new ArrayList<>();
        if (pending.isEmpty()) {
            return chosen;
        }
        int limit = transmissions(zoneSize);
        int bytes = 0;
        List<Pending> byPriority = new ArrayList<>(pending.values());
        byPriority.sort(LEAST_SENT_FIRST);
        for (Pending candidate : byPriority) {
            bytes += MemberFields.maxEncodedBytes(candidate.update);
            if (bytes > MAX_BYTES) {
                return chosen;
            }
            chosen.add(candidate.update);
            candidate.sent++;
            if (candidate.sent >= limit) {
                pending.remove(candidate.update.nodeId());
            }
        }
        return chosen;
    }

    private static final Comparator<Pending> LEAST_SENT_FIRST =
            Comparator.<Pending>comparingInt(p -> p.sent)
                    .thenComparing(Comparator.comparingLong((Pending p) -> p.order).reversed());
}
