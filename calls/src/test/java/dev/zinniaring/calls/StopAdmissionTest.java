package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class StopAdmissionTest {
    private static final boolean IDEMPOTENT = true;
    private static final boolean UNSAFE = false;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final StopAdmission stop = new StopAdmission(clock);

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private OptionalLong admit(long deadlineMillis, boolean idempotent, long expectedMillis) {
        return stop.serverDeadlineNanos(nanos(deadlineMillis), idempotent, nanos(expectedMillis));
    }

    @Test
    void everyCallIsAdmittedWhileTheNodeRuns() {
        assertThat(admit(60_000, UNSAFE, 50_000)).hasValue(nanos(60_000));
        assertThat(stop.fits(nanos(60_000))).isTrue();
    }

    /** Guards against a refusal of calls that are in no danger. */
    @Test
    void aCallWhoseDeadlineFitsIsAdmittedUnchanged() {
        stop.stopAt(nanos(5_600));
        assertThat(admit(5_400, UNSAFE, 4_000)).hasValue(nanos(5_400));
        assertThat(admit(5_400, IDEMPOTENT, 4_000)).hasValue(nanos(5_400));
    }

    /** Guards against an unsafe call that is cut because it runs as long as its deadline allows. */
    @Test
    void anUnsafeCallThatMayOutlastTheProcessIsRefusedHoweverShortItUsuallyIs() {
        stop.stopAt(nanos(5_600));
        assertThat(admit(5_401, UNSAFE, 1)).isEmpty();
        assertThat(stop.fits(nanos(5_401))).isFalse();
    }

    /** Guards against a server that still runs a call when the process of its node ends. */
    @Test
    void aShortIdempotentCallGetsTheTimeThatIsLeft() {
        stop.stopAt(nanos(5_600));
        clock.advance(Duration.ofMillis(2_000));
        assertThat(admit(8_000, IDEMPOTENT, 1_700)).hasValue(nanos(5_400));
    }

    /** Guards against work that the end of the process makes useless. */
    @Test
    void anIdempotentCallThatIsExpectedToOutlastTheProcessIsRefused() {
        stop.stopAt(nanos(5_600));
        clock.advance(Duration.ofMillis(2_000));
        assertThat(admit(8_000, IDEMPOTENT, 1_701)).isEmpty();
        clock.advance(Duration.ofMillis(3_500));
        assertThat(admit(8_000, IDEMPOTENT, 0)).isEmpty();
    }
}
