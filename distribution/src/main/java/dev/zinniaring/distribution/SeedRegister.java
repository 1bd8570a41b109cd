package dev.zinniaring.distribution;

import java.util.HashMap;
import java.util.Map;

/**
 * What one seed knows of the numbers recorded. It lives in memory only: a seed that has restarted
 * does not count until it has learnt at least as much as its earlier life had to know.
 */
final class SeedRegister {
    private final String self;
    private final Seeds seeds;
    private final long life;
    private final Map<String, Long> heard = new HashMap<>();
    private long mark;
    private boolean confirmed;

    /**
     * Creates the register of a seed that starts.
     *
     * @param self the seed's name
     * @param life differs from that of each earlier life of the seed
     */
    SeedRegister(String self, Seeds seeds, long life) {
        this.self = self;
        this.seeds = seeds;
        this.life = life;
    }

    /** Raises the mark and answers. */
    RecordAck record(RecordRequest request) {
        mark = Math.max(mark, request.number());
        return new RecordAck(request.number(), request.phase(), confirmed, life);
    }

    /** Answers a starting node. */
    MarkReply answer(MarkQuery query) {
        return new MarkReply(query.nonce(), mark, confirmed);
    }

    /** Learns the head's number from the platform; every number ever recorded is at most this. */
    void readHead(long number) {
        mark = Math.max(mark, number);
        confirmed = true;
    }

    /** Learns another seed's answer; a majority of confirmed ones confirms this seed. */
    void heard(String seed, MarkReply reply) {
        if (confirmed || !reply.confirmed() || seed.equals(self) || !seeds.contains(seed)) {
            return;
        }
        heard.merge(seed, reply.mark(), Math::max);
        if (heard.size() >= seeds.majority()) {
            heard.values().forEach(other -> mark = Math.max(mark, other));
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
