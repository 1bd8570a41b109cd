package dev.zinniaring.membership;

import java.time.Duration;

/**
 * Estimates whether this node itself is slow, paused or cut off, and stretches its timeouts then,
 * so that it does not blame others for its own state.
 */
final class LocalHealth {
    static final int MAX_SCORE = 4;

    private int score;

    /** Notes a probe whose target and helpers were all silent, or a refuted suspicion of us. */
    void worse() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    /** Notes an answered probe. */
    void better() {
        score = Math.max(0, score - 1);
    }

    /** Notes that this process did not run for a while. */
    void paused() {
        score = MAX_SCORE;
    }

    int score() {
        return score;
    }

    /** Returns a timeout in nanoseconds, stretched by the present state. */
    long stretchNanos(Duration timeout) {
        return timeout.toNanos() * (1 + score);
    }
}
