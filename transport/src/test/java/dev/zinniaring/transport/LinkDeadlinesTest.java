package dev.zinniaring.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** The defaults: greeting 5 s, frame 10 s, silence 10 s, idle 30 s. */
class LinkDeadlinesTest {
    private static final TransportLimits LIMITS = TransportLimits.defaults();

    private final LinkDeadlines deadlines = new LinkDeadlines(LIMITS, false, 0);

    @Test
    void theGreetingIsDueAfterTheStartOfTheConnect() {
        deadlines.connecting(seconds(100));
        assertThat(deadlines.missedGreeting(seconds(104))).isFalse();
        assertThat(deadlines.missedGreeting(seconds(105))).isTrue();
    }

    /** Guards against a sender that drips bytes to hold a frame open for ever. */
    @Test
    void aFrameMustEndInTimeHoweverManyBytesArrive() {
        deadlines.opened(0);
        for (int second = 1; second <= 10; second++) {
            deadlines.received(seconds(second));
            deadlines.read(true, false, seconds(second));
        }
        assertThat(deadlines.missed(seconds(10))).isEmpty();
        assertThat(deadlines.missed(seconds(11))).contains(TransportFault.PARTIAL_FRAME_TIMEOUT);
    }

    /** Guards against closing a busy link whose reads happen to end within frames. */
    @Test
    void aCompletedFrameRestartsTheDeadlineOfTheNext() {
        deadlines.opened(0);
        for (int second = 1; second <= 60; second++) {
            deadlines.received(seconds(second));
            deadlines.read(true, true, seconds(second));
        }
        assertThat(deadlines.missed(seconds(61))).isEmpty();
    }

    @Test
    void aSilentPeerIsAskedOnceAndMustAnswer() {
        deadlines.opened(0);
        assertThat(deadlines.mustAsk(seconds(9))).isFalse();
        assertThat(deadlines.mustAsk(seconds(10))).isTrue();
        assertThat(deadlines.mustAsk(seconds(11))).isFalse();
        assertThat(deadlines.missed(seconds(14))).isEmpty();
        assertThat(deadlines.missed(seconds(15))).contains(TransportFault.PEER_SILENT);
        deadlines.received(seconds(15));
        assertThat(deadlines.missed(seconds(15))).isEmpty();
    }

    @Test
    void theAcceptorWaitsTwiceAsLongBeforeALinkIsIdle() {
        LinkDeadlines accepted = new LinkDeadlines(LIMITS, true, 0);
        deadlines.used(0);
        accepted.used(0);
        assertThat(deadlines.isIdle(seconds(30))).isTrue();
        assertThat(accepted.isIdle(seconds(59))).isFalse();
        assertThat(accepted.isIdle(seconds(60))).isTrue();
    }

    private static long seconds(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }
}
