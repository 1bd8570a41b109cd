package dev.zinniaring.transport;

import java.time.Duration;

/**
 * Finds out whether a peer is still there. TCP alone notices a peer that vanished only after many
 * minutes, and goes on late after a partition, because its retransmissions grow rare.
 */
final class LinkSilence {
    private final long askAfterNanos;
    private final long answerWithinNanos;
    private long lastReceivedNanos;
    private long askedNanos;
    private boolean asked;

    /** What to do about a link. */
    enum Verdict {
        FINE,
        ASK,
        GONE
    }

    /**
     * Creates a watch.
     *
     * @param askAfter time without a frame after which the peer is asked
     * @param answerWithin time for any frame to arrive then
     */
    LinkSilence(Duration askAfter, Duration answerWithin, long nowNanos) {
        this.askAfterNanos = askAfter.toNanos();
        this.answerWithinNanos = answerWithin.toNanos();
        this.lastReceivedNanos = nowNanos;
    }

    void received(long nowNanos) {
        lastReceivedNanos = nowNanos;
        asked = false;
    }

    Verdict at(long nowNanos) {
        if (asked) {
            return nowNanos - askedNanos >= answerWithinNanos ? Verdict.GONE : Verdict.FINE;
        }
        if (nowNanos - lastReceivedNanos < askAfterNanos) {
            return Verdict.FINE;
        }
        asked = true;
        askedNanos = nowNanos;
        return Verdict.ASK;
    }
}
