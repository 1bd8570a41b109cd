package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.Clock;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a warm-up ends, since a node is not ready before. */
class CallPathWarmUpTest {
    private static final int WAIT_SECONDS = 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicInteger ends = new AtomicInteger();
    private final CountDownLatch ended = new CountDownLatch(1);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private CallPathWarmUp.Result run(Clock clock) throws Exception {
        return run(clock, () -> true);
    }

    private CallPathWarmUp.Result run(Clock clock, BooleanSupplier wanted) throws Exception {
        CallPathWarmUp warmUp = new CallPathWarmUp(group, HeaderNames.builder().build(), clock);
        CallPathWarmUp.Result[] results = new CallPathWarmUp.Result[1];
        warmUp.run(
                wanted,
                result -> {
                    results[0] = result;
                    ends.incrementAndGet();
                    ended.countDown();
                });
        assertThat(ended.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        group.submit(() -> {}).get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(ends).hasValue(1);
        return results[0];
    }

    /** Returns a clock that advances by a step with each reading. */
    private static Clock stepping(Duration step) {
        AtomicLong nanos = new AtomicLong();
        return new Clock() {
            @Override
            public Instant now() {
                return Instant.EPOCH;
            }

            @Override
            public long nanos() {
                return nanos.addAndGet(step.toNanos());
            }
        };
    }

    @Test
    void allCallsOfTheWarmUpAreAnswered() throws Exception {
        CallPathWarmUp.Result result = run(stepping(Duration.ofNanos(1)));
        assertThat(result.answered()).isEqualTo(CallPathWarmUp.CALLS);
        assertThat(result.reason()).isEqualTo("done");
    }

    /** After a loss of power, all nodes start at once and callers do not go elsewhere. */
    @Test
    void theWarmUpEndsOnceCallersAreThere() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        CallPathWarmUp.Result result =
                run(stepping(Duration.ofNanos(1)), () -> asked.incrementAndGet() <= 5);
        assertThat(result.answered()).isEqualTo(5);
        assertThat(result.reason()).isEqualTo("not-wanted");
    }

    /** A node on a slow VM must become ready even if it is not warm. */
    @Test
    void theWarmUpEndsWhenItsTimeIsOver() throws Exception {
        CallPathWarmUp.Result result = run(stepping(Duration.ofMillis(2)));
        assertThat(result.answered()).isLessThan(CallPathWarmUp.CALLS);
        assertThat(result.reason()).isEqualTo("time-over");
    }
}
