package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks invariants of admission and of the retry budget on random sequences of events. Guards
 * against grants beyond the limit, undecided calls, ranks below their floor and excess retries.
 */
class AdmissionPropertiesTest {
    @ParameterizedTest
    @MethodSource("seeds")
    void grantsStayWithinTheLimitAndEachCallIsDecidedOnce(long seed) {
        Random random = new Random(seed);
        int slots = 1 + random.nextInt(8);
        int maxQueued = random.nextInt(11);
        int[] steps = random.ints(1 + random.nextInt(300), 0, 10).toArray();
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        RankedAdmission admission =
                RankedAdmission.builder()
                        .clock(clock)
                        .ranks(FloodSimulation.RANKS)
                        .slots(slots)
                        .maxQueued(maxQueued)
                        .maxQueueMillis(50)
                        .build();
        AdmissionProbe probe = new AdmissionProbe(admission);
        int requested = 0;
        for (int step : steps) {
            if (step < 6) {
                requested++;
                probe.admit("call" + requested, step % 4, clock.nanos() + 40_000_000);
            } else if (step == 6) {
                clock.advance(Duration.ofMillis(7));
                admission.expire();
            } else if (!probe.permits.isEmpty()) {
                probe.release(step * 1_000_000L);
            }
            assertThat(probe.permits.size()).isLessThanOrEqualTo(slots);
            assertThat(admission.state().running()).isEqualTo(probe.permits.size());
            assertThat(admission.state().queued()).isLessThanOrEqualTo(maxQueued);
        }
        while (!probe.permits.isEmpty()) {
            probe.release(1_000_000);
        }
        assertThat(probe.decisions).hasSize(requested);
        assertThat(admission.state().running()).isZero();
    }

    @ParameterizedTest
    @MethodSource("floods")
    void everyRankGetsItsFloorWhateverTheLoadOfTheOthers(
            int seed, int slots, int flooding, int factor) {
        double[] loads = {0.5, 0.5, 0.5, 0.5};
        loads[flooding] = factor;
        FloodSimulation.Setup setup = new FloodSimulation.Setup(slots, 60, 500, 20, 400);
        FloodSimulation run = new FloodSimulation(seed, setup, setup::ranked, loads).run();
        for (int rank = 0; rank < loads.length; rank++) {
            double floor = FloodSimulation.RANKS.get(rank).floorShare();
            assertThat(run.share(rank)).as("rank " + rank).isGreaterThan(0.95 * floor);
        }
        assertThat(run.goodputOfCapacity()).isGreaterThanOrEqualTo(0.95);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void retriesNeverExceedTheirPercentageOfTheCalls(long seed) {
        Random random = new Random(seed);
        int percent = random.nextInt(101);
        int[] steps = random.ints(random.nextInt(501), 0, 2).toArray();
        RetryBudget budget = new RetryBudget(percent);
        int calls = 0;
        int retries = 0;
        for (int step : steps) {
            if (step == 1) {
                calls++;
                budget.recordCall();
            } else if (budget.trySpend()) {
                retries++;
            }
            assertThat(retries * 100).isLessThanOrEqualTo(calls * percent);
        }
    }

    static LongStream seeds() {
        return LongStream.concat(
                LongStream.of(0, 1, -1, Long.MIN_VALUE, Long.MAX_VALUE), new Random(11).longs(300));
    }

    static Stream<Arguments> floods() {
        Random random = new Random(12);
        return IntStream.range(0, 20)
                .mapToObj(
                        i ->
                                Arguments.of(
                                        1 + random.nextInt(1_000_000),
                                        i == 0 ? 1 : 1 + random.nextInt(20),
                                        i % 4,
                                        2 + random.nextInt(7)));
    }
}
