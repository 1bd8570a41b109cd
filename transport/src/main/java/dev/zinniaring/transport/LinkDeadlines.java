package dev.zinniaring.transport;

import java.time.Duration;
import java.util.Optional;

/** Tracks the timeouts of one link. Confined to the I/O thread. */
final class LinkDeadlines {
    private final TransportLimits limits;
    private final Duration idleTimeout;
    private long handshakeStartNanos;
    private long lastUseNanos;
    private long lastReceivedNanos;
    private long partialSinceNanos;
    private long checkSentNanos;
    private boolean partial;
    private boolean checkPending;

    /**
     * Creates deadlines that start at {@code nowNanos}.
     *
     * @param accepted whether the peer opened the link; the idle timeout is then doubled, so that
     *     normally the peer closes an idle link
     */
    LinkDeadlines(TransportLimits limits, boolean accepted, long nowNanos) {
        this.limits = limits;
        this.idleTimeout = limits.idleTimeout().multipliedBy(accepted ? 2 : 1);
        this.handshakeStartNanos = nowNanos;
    }

    void startHandshake(long nowNanos) {
        handshakeStartNanos = nowNanos;
    }

    void recordOpened(long nowNanos) {
        recordUse(nowNanos);
        recordReceived(nowNanos);
    }

    /** Records a message in either direction, which restarts the idle timeout. */
    void recordUse(long nowNanos) {
        lastUseNanos = nowNanos;
    }

    /** Records bytes from the peer, which restart the silence timeout. */
    void recordReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
        checkPending = false;
    }

    /**
     * Records whether the bytes received so far end within a frame, and whether this read completed
     * a frame, which restarts the partial frame timeout.
     */
    void recordFrameProgress(boolean endsWithinFrame, boolean completedFrame, long nowNanos) {
        if (endsWithinFrame && (completedFrame || !partial)) {
            partialSinceNanos = nowNanos;
        }
        partial = endsWithinFrame;
    }

    boolean isHandshakeOverdue(long nowNanos) {
        return hasElapsed(handshakeStartNanos, limits.handshakeTimeout(), nowNanos);
    }

    /** Returns the fault that must close an open link, or empty if no deadline has passed. */
    Optional<TransportFault> missedDeadline(long nowNanos) {
        if (partial && hasElapsed(partialSinceNanos, limits.partialFrameTimeout(), nowNanos)) {
            return Optional.of(TransportFault.PARTIAL_FRAME_TIMEOUT);
        }
        if (checkPending && hasElapsed(checkSentNanos, limits.handshakeTimeout(), nowNanos)) {
            return Optional.of(TransportFault.PEER_SILENT);
        }
        return Optional.empty();
    }

    boolean isIdle(long nowNanos) {
        return hasElapsed(lastUseNanos, idleTimeout, nowNanos);
    }

    /**
     * Returns whether to send a link check, at most once until the peer sends bytes. TCP alone
     * detects a vanished peer only after many minutes, and resumes late after a partition, because
     * the intervals between its retransmissions grow.
     */
    boolean shouldSendCheck(long nowNanos) {
        if (checkPending || !hasElapsed(lastReceivedNanos, limits.silenceTimeout(), nowNanos)) {
            return false;
        }
        checkPending = true;
        checkSentNanos = nowNanos;
        return true;
    }

    private static boolean hasElapsed(long sinceNanos, Duration limit, long nowNanos) {
        return nowNanos - sinceNanos >= limit.toNanos();
    }
}
