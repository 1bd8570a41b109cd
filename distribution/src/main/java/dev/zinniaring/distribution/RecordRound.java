package dev.zinniaring.distribution;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Collects the acknowledgements of one version until it is certain that a majority of seeds held it
 * at the same time.
 *
 * <p>A seed keeps its mark in memory only, so counting each seed once is not sufficient: a seed
 * could acknowledge, restart, recover a lower mark from seeds that have not recorded the version
 * yet, and still be counted together with the later acknowledgements of these seeds. Requests
 * therefore carry a phase. A seed counts for the start of a phase if it had acknowledged before
 * that and, in the same incarnation, acknowledges that phase.
 */
final class RecordRound {
    private final long number;
    private final Seeds seeds;
    private final Map<String, Span> spans = new HashMap<>();
    private int phase;

    /**
     * Interval for which one incarnation of a seed held the version: from before the end of {@code
     * sincePhase} until {@code untilPhase}.
     */
    private record Span(long incarnation, int sincePhase, int untilPhase) {
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

    /** Begins the next phase and returns its request, which the caller sends to all seeds. */
    RecordRequest nextPhase() {
        phase++;
        return new RecordRequest(number, phase);
    }

    /** Processes the answer of a seed. */
    void acknowledged(String seed, RecordAck ack) {
        boolean matches = ack.number() == number && ack.phase() >= 1 && ack.phase() <= phase;
        if (matches && ack.confirmed() && seeds.contains(seed)) {
            spans.compute(seed, (name, span) -> extended(span, ack));
        }
    }

    private Span extended(@Nullable Span span, RecordAck ack) {
        if (span == null || span.incarnation != ack.incarnation()) {
            return new Span(ack.incarnation(), phase, ack.phase());
        }
        return new Span(span.incarnation, span.sincePhase, Math.max(span.untilPhase, ack.phase()));
    }

    /**
     * Returns whether a majority has acknowledged, so that the next phase can complete the round.
     */
    boolean majorityAnswered() {
        return spans.size() >= seeds.majority();
    }

    /** Returns whether a majority has recorded the version, so that it may be activated. */
    boolean complete() {
        for (Span span : spans.values()) {
            if (covering(span.untilPhase) >= seeds.majority()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the seeds that acknowledged a phase from {@code firstPhase} on, as {@code
     * seed@incarnation}.
     */
    Set<String> acknowledgedSince(int firstPhase) {
        Set<String> incarnations = new TreeSet<>();
        spans.forEach(
                (seed, span) -> {
                    if (span.untilPhase >= firstPhase) {
                        incarnations.add(seed + "@" + span.incarnation);
                    }
                });
        return incarnations;
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
