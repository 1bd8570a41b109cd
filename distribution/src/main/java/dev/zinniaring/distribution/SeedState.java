package dev.zinniaring.distribution;

import java.util.HashMap;
import java.util.Map;

/**
 * State of one seed. Its mark is the highest version number that it has recorded, or has learned
 * from the head or from other seeds. The mark is kept in memory only, so the answers of a restarted
 * seed do not count until it has learned at least what its earlier incarnation must have known.
 */
final class SeedState {
    private final String self;
    private final Seeds seeds;
    private final long incarnation;
    private final Map<String, Long> replies = new HashMap<>();
    private long mark;
    private boolean confirmed;

    /**
     * Creates the state of a starting seed.
     *
     * @param self name of the seed
     * @param incarnation differs from those of all earlier incarnations of the seed
     */
    SeedState(String self, Seeds seeds, long incarnation) {
        this.self = self;
        this.seeds = seeds;
        this.incarnation = incarnation;
    }

    /** Raises the mark and returns the acknowledgement. */
    RecordAck record(RecordRequest request) {
        mark = Math.max(mark, request.number());
        return new RecordAck(request.number(), request.phase(), confirmed, incarnation);
    }

    /** Returns the answer to the query of a starting node. */
    MarkReply answer(MarkQuery query) {
        return new MarkReply(query.nonce(), mark, confirmed);
    }

    /**
     * Raises the mark to the head's number, as read from the platform, and confirms this seed:
     * every number recorded before the read is at most this one.
     */
    void readHead(long number) {
        mark = Math.max(mark, number);
        confirmed = true;
    }

    /** Adds the answer of another seed. A majority of confirmed answers confirms this seed. */
    void addReply(String seed, MarkReply reply) {
        if (confirmed || !reply.confirmed() || seed.equals(self) || !seeds.contains(seed)) {
            return;
        }
        replies.merge(seed, reply.mark(), Math::max);
        if (replies.size() >= seeds.majority()) {
            replies.values().forEach(other -> mark = Math.max(mark, other));
            confirmed = true;
        }
    }

    boolean confirmed() {
        return confirmed;
    }

    long mark() {
        return mark;
    }
}
