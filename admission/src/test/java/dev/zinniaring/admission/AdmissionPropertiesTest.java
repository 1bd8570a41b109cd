package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Random histories of one controller. */
class AdmissionPropertiesTest {
    @Property(tries = 300, seed = "11")
    void grantsStayWithinTheLimitAndEachCallIsDecidedOnce(
            @ForAll @IntRange(min = 1, max = 8) int slots,
            @ForAll @IntRange(max = 10) int maxQueued,
            @ForAll @Size(min = 1, max = 300) List<@IntRange(max = 9) Integer> steps) {
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
        int asked = 0;
        for (int step : steps) {
            if (step < 6) {
                asked++;
                probe.admit("call" + asked, step % 4, clock.nanos() + 40_000_000);
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
        assertThat(probe.decisions).hasSize(asked);
        assertThat(admission.state().running()).isZero();
    }

    @Property(tries = 20, seed = "12")
    void noRankGetsLessThanItsFloorWhateverTheLoadOfTheOthers(
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed,
            @ForAll @IntRange(min = 1, max = 20) int slots,
            @ForAll @IntRange(max = 3) int flooding,
            @ForAll @IntRange(min = 2, max = 8) int factor) {
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

    @Property(tries = 200, seed = "13")
    void retriesNeverExceedTheirShareOfTheCalls(
            @ForAll @IntRange(max = 100) int percent,
            @ForAll @Size(max = 500) List<Boolean> steps) {
        RetryBudget budget = new RetryBudget(percent);
        int calls = 0;
        int retries = 0;
        for (boolean call : steps) {
            if (call) {
                calls++;
                budget.called();
            } else if (budget.spend()) {
                retries++;
            }
            assertThat(retries * 100).isLessThanOrEqualTo(calls * percent);
        }
    }
}
