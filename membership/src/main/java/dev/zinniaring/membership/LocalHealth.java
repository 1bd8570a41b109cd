package dev.zinniaring.membership;

import java.time.Duration;

/**
 * Estimates whether this node itself is slow, paused or cut off, and stretches its timeouts if so,
 * so that it does not suspect healthy members because of its own problems.
 */
final class LocalHealth {
    static final int MAX_SCORE = 4;

    private int score;

    /**
     * Records a probe that neither its target nor any helper answered, or a refuted claim that this
     * node is suspect or dead.
     */
    void recordFailure() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** Records an answered probe. */
    void recordSuccess() {
        score = Math.max(0, score - 1);
    }

    /** Records that this process did not run for some time. */
    void recordPause() {
        score = MAX_SCORE;
    }

    int score() {
        return score;
    }

    /** Returns a timeout in nanoseconds, multiplied by one plus the score. */
    long stretchNanos(Duration timeout) {
        return timeout.toNanos() * (1 + score);
    }
}
