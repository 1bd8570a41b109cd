package dev.zinniaring.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against links that stay open past a timeout, or close before it. Uses the default
 * timeouts: handshake 5 s, partial frame 10 s, silence 10 s, idle 30 s.
 */
class LinkDeadlinesTest {
    private static final TransportLimits LIMITS = TransportLimits.defaults();

    private final LinkDeadlines deadlines = new LinkDeadlines(LIMITS, false, 0);

    @Test
    void theHandshakeTimeoutCountsFromTheStartOfTheConnect() {
        deadlines.startHandshake(seconds(100));
        assertThat(deadlines.isHandshakeOverdue(seconds(104))).isFalse();
        assertThat(deadlines.isHandshakeOverdue(seconds(105))).isTrue();
    }

    /** Guards against a sender that keeps a frame incomplete forever by sending single bytes. */
    @Test
    void aFrameMustBeCompletedInTimeHoweverManyBytesArrive() {
        deadlines.recordOpened(0);
        for (int second = 1; second <= 10; second++) {
            deadlines.recordReceived(seconds(second));
            deadlines.recordFrameProgress(true, false, seconds(second));
        }
        assertThat(deadlines.missedDeadline(seconds(10))).isEmpty();
        assertThat(deadlines.missedDeadline(seconds(11)))
                .contains(TransportFault.PARTIAL_FRAME_TIMEOUT);
    }

    /** Guards against closing a busy link whose reads all happen to end within a frame. */
    @Test
    void aCompletedFrameRestartsThePartialFrameTimeout() {
        deadlines.recordOpened(0);
        for (int second = 1; second <= 60; second++) {
            deadlines.recordReceived(seconds(second));
            deadlines.recordFrameProgress(true, true, seconds(second));
        }
        assertThat(deadlines.missedDeadline(seconds(61))).isEmpty();
    }

    @Test
    void aSilentPeerIsSentOneCheckAndMustAnswer() {
        deadlines.recordOpened(0);
        assertThat(deadlines.shouldSendCheck(seconds(9))).isFalse();
        assertThat(deadlines.shouldSendCheck(seconds(10))).isTrue();
        assertThat(deadlines.shouldSendCheck(seconds(11))).isFalse();
        assertThat(deadlines.missedDeadline(seconds(14))).isEmpty();
        assertThat(deadlines.missedDeadline(seconds(15))).contains(TransportFault.PEER_SILENT);
        deadlines.recordReceived(seconds(15));
        assertThat(deadlines.missedDeadline(seconds(15))).isEmpty();
    }

    @Test
    void theAcceptingSideHasTwiceTheIdleTimeout() {
        LinkDeadlines accepted = new LinkDeadlines(LIMITS, true, 0);
        deadlines.recordUse(0);
        accepted.recordUse(0);
        assertThat(deadlines.isIdle(seconds(30))).isTrue();
        assertThat(accepted.isIdle(seconds(59))).isFalse();
        assertThat(accepted.isIdle(seconds(60))).isTrue();
    }

    private static long seconds(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
