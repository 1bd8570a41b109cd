package dev.zinniaring.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The membership updates that are still to be disseminated, piggybacked on other messages. Each is
 * sent a number of times that grows with the logarithm of the zone's size; updates sent the fewest
 * times go first, and among those the most recent.
 */
final class UpdateQueue {
    /** Space for updates in a datagram; the rest is left for the envelope and the probe message. */
    static final int MAX_BYTES = 800;

    private static final int MAX_UPDATES = 1_024;
    private static final int TRANSMISSIONS_PER_DOUBLING = 3;

    private final Map<String, Pending> pending = new HashMap<>();
    private long nextSequence;

    private static final class Pending {
        private final Member update;
        private final long sequence;
        private int sent;

        Pending(Member update, long sequence) {
            this.update = update;
            this.sequence = sequence;
        }
    }

    /** Returns how many times one node sends an update. */
    static int transmissions(int zoneSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(zoneSize);
        return TRANSMISSIONS_PER_DOUBLING * Math.max(1, doublings);
    }

    /** Adds an update, which replaces an earlier one about the same node. */
    void add(Member update) {
        pending.put(update.nodeId(), new Pending(update, nextSequence++));
        if (pending.size() > MAX_UPDATES) {
            // ListExchange later delivers the update that is dropped here.
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

    /** Returns the updates to include in one datagram and counts them as sent. */
    List<Member> nextBatch(int zoneSize) {
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
                    .thenComparing(Comparator.comparingLong((Pending p) -> p.sequence).reversed());
}
