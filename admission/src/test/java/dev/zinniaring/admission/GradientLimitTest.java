package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Guards against a limit that stays low although the server is not overloaded, and one that stays
 * high although calls queue inside the server.
 */
class GradientLimitTest {
    private static final int SLOTS = 20;
    private static final double SERVICE_MILLIS = 20;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom random = new SplittableRandom(3);
    private final GradientLimit limit = new GradientLimit(2, SLOTS, 0);

    @Test
    void staysNearTheSlotsWhileLatencyDoesNotDependOnTheLoad() {
        run(60, concurrency -> SERVICE_MILLIS);
        assertThat(limit.value()).isGreaterThanOrEqualTo(SLOTS - 2);
    }

    @Test
    void staysNearTheSlotsWhenLatencyVariesWidely() {
        int least = SLOTS;
        for (int second = 0; second < 120; second++) {
            run(1, concurrency -> SERVICE_MILLIS, GradientLimitTest::exponential);
            least = Math.min(least, limit.value());
        }
        assertThat(least).isGreaterThanOrEqualTo(SLOTS * 8 / 10);
    }

    @Test
    void findsTheConcurrencyOfAServerThatDeclaresTooManySlots() {
        limit.resize(4);
        run(10, concurrency -> SERVICE_MILLIS * Math.max(1, concurrency / 5));
        limit.resize(SLOTS);
        run(30, concurrency -> SERVICE_MILLIS * Math.max(1, concurrency / 5));
        assertThat(limit.value()).isBetween(4, 12);
    }

    @Test
    void recoversWhenTheServerIsSlowForAReasonOtherThanLoad() {
        run(10, concurrency -> SERVICE_MILLIS);
        run(30, concurrency -> 4 * SERVICE_MILLIS);
        assertThat(limit.value()).isGreaterThanOrEqualTo(SLOTS - 4);
    }

    @Test
    void neverFallsBelowOne() {
        for (int answer = 0; answer < 10_000; answer++) {
            clock.advance(Duration.ofMillis(10));
            limit.overloaded(clock.nanos());
            assertThat(limit.value()).isBetween(1, SLOTS);
        }
        assertThat(limit.value()).isEqualTo(1);
    }

    private static double exponential(SplittableRandom random) {
        return -Math.log(1 - random.nextDouble());
    }

    /** Runs as many calls at once as the limit allows; latency depends on that concurrency. */
    private void run(int seconds, DoubleUnaryOperator latencyMillis) {
        run(seconds, latencyMillis, random -> 0.5 + random.nextDouble());
    }

    private void run(
            int seconds,
            DoubleUnaryOperator latencyMillis,
            ToDoubleFunction<SplittableRandom> spread) {
        long endNanos = clock.nanos() + Duration.ofSeconds(seconds).toNanos();
        while (clock.nanos() < endNanos) {
            int concurrency = limit.value();
            double millis = latencyMillis.applyAsDouble(concurrency);
            for (int call = 0; call < concurrency; call++) {
                long latencyNanos = (long) (millis * 1e6 * spread.applyAsDouble(random));
                limit.completed(call % 2, latencyNanos, clock.nanos());
            }
            clock.advance(Duration.ofNanos((long) (millis * 1e6)));
        }
    }
}
