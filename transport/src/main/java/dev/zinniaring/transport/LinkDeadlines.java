package dev.zinniaring.transport;

import java.time.Duration;
import java.util.Optional;

/** The deadlines of one link and what it missed. Used by the I/O thread alone. */
final class LinkDeadlines {
    private final TransportLimits limits;
    private final Duration idleTimeout;
    private long startedNanos;
    private long lastUseNanos;
    private long lastReceivedNanos;
    private long partialSinceNanos;
    private long askedNanos;
    private boolean partial;
    private boolean asked;

    /**
     * Creates deadlines that begin now.
     *
     * @param accepted whether the peer opened the link; it is then left to the peer to close the
     *     link when idle, unless that takes twice as long
     */
    LinkDeadlines(TransportLimits limits, boolean accepted, long nowNanos) {
        this.limits = limits;
        this.idleTimeout = limits.idleTimeout().multipliedBy(accepted ? 2 : 1);
        this.startedNanos = nowNanos;
    }

    void connecting(long nowNanos) {
        startedNanos = nowNanos;
    }

    void opened(long nowNanos) {
        used(nowNanos);
        received(nowNanos);
    }

    /** Notes a message in either direction. */
    void used(long nowNanos) {
        lastUseNanos = nowNanos;
    }

    /** Notes bytes from the peer. */
    void received(long nowNanos) {
        lastReceivedNanos = nowNanos;
        asked = false;
    }

    /**
     * Notes whether the bytes received so far end within a frame, and whether one was completed.
     */
    void read(boolean endsWithinFrame, boolean completedFrame, long nowNanos) {
        if (endsWithinFrame && (completedFrame || !partial)) {
            partialSinceNanos = nowNanos;
        }
        partial = endsWithinFrame;
    }

    boolean missedGreeting(long nowNanos) {
        return passed(startedNanos, limits.handshakeTimeout(), nowNanos);
    }

    /** Returns what an open link missed that ends it. */
    Optional<TransportFault> missed(long nowNanos) {
        if (partial && passed(partialSinceNanos, limits.partialFrameTimeout(), nowNanos)) {
            return Optional.of(TransportFault.PARTIAL_FRAME_TIMEOUT);
        }
        if (asked && passed(askedNanos, limits.handshakeTimeout(), nowNanos)) {
            return Optional.of(TransportFault.PEER_SILENT);
        }
        return Optional.empty();
    }

    boolean isIdle(long nowNanos) {
        return passed(lastUseNanos, idleTimeout, nowNanos);
    }

    /**
     * Returns whether to ask the peer if it is still there. TCP alone notices a peer that vanished
     * only after many minutes, and goes on late after a partition, because its retransmissions grow
     * rare.
     */
    boolean mustAsk(long nowNanos) {
        if (asked || !passed(lastReceivedNanos, limits.silenceTimeout(), nowNanos)) {
            return false;
        }
        asked = true;
        askedNanos = nowNanos;
        return true;
    }

    private static boolean passed(long sinceNanos, Duration limit, long nowNanos) {
        return nowNanos - sinceNanos >= limit.toNanos();
    }
}
