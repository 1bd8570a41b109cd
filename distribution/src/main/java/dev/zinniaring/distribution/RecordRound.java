package dev.zinniaring.distribution;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Collects the acknowledgements of one version until it is certain that a majority of seeds held it
 * at one moment.
 *
 * <p>A seed keeps its mark in memory only. Counting each seed once would be too weak: a seed could
 * acknowledge, restart, recover a lower mark from seeds that have not recorded the version yet, and
 * still be counted with their later acknowledgements. So the requests carry a phase, and a seed
 * counts for the start of a phase if it had acknowledged before that and acknowledges that phase in
 * the same life.
 */
final class RecordRound {
    private final long number;
    private final Seeds seeds;
    private final Map<String, Span> spans = new HashMap<>();
    private int phase;

    /** A seed held the version in one life from before the end of one phase until another. */
    private record Span(long life, int sincePhase, int untilPhase) {
        boolean covers(int phase) {
            return sincePhase < phase && phase <= untilPhase;
        }
    }

    RecordRound(long number, Seeds seeds) {
        this.number = number;
        this.seeds = seeds;
    }

    long number() {
        return number;
    }

    /** Begins the next phase and returns its request, to be sent to all seeds. */
    RecordRequest nextPhase() {
        phase++;
        return new RecordRequest(number, phase);
    }

    /** Learns a seed's answer. */
    void acknowledged(String seed, RecordAck ack) {
        boolean mine = ack.number() == number && ack.phase() >= 1 && ack.phase() <= phase;
        if (mine && ack.confirmed() && seeds.contains(seed)) {
            spans.compute(seed, (name, span) -> extended(span, ack));
        }
    }

    private Span extended(@Nullable Span span, RecordAck ack) {
        if (span == null || span.life != ack.life()) {
            return new Span(ack.life(), phase, ack.phase());
        }
        return new Span(span.life, span.sincePhase, Math.max(span.untilPhase, ack.phase()));
    }

    /** Returns whether a majority has acknowledged, so that the next phase can complete this. */
    boolean majorityAnswered() {
        return spans.size() >= seeds.majority();
    }

    /** Returns whether the version may be put in force. */
    boolean complete() {
        for (Span span : spans.values()) {
            if (covering(span.untilPhase) >= seeds.majority()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the seeds and lives that acknowledged a phase, as {@code seed@life}. */
    Set<String> acknowledgedSince(int firstPhase) {
        Set<String> lives = new TreeSet<>();
        spans.forEach(
                (seed, span) -> {
                    if (span.untilPhase >= firstPhase) {
                        lives.add(seed + "@" + span.life);
                    }
                });
        return lives;
    }

    int phase() {
        return phase;
    }

    int acknowledgements() {
        return spans.size();
    }

    private int covering(int phase) {
        return (int) spans.values().stream().filter(span -> span.covers(phase)).count();
    }
}
