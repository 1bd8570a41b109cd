package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.Rank;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against calls served or shed in the wrong order of ranks, and against queued calls that
 * can no longer meet their deadline.
 */
class RankedAdmissionTest {
    private static final long FAR_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(600);
    private static final long SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final List<Rank> RANKS =
            List.of(
                    new Rank("urgent", 0, 10, 0),
                    new Rank("normal", 5, 2, 0),
                    new Rank("low", 9, 1, 0.1));

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    void theQueueIsServedByRankAndWithinARankByArrival() {
        AdmissionProbe probe = new AdmissionProbe(builder().ranks(withoutFloors()).build());
        probe.admit("first", 9, FAR_DEADLINE_NANOS);
        probe.admit("low", 9, FAR_DEADLINE_NANOS);
        probe.admit("normal", 5, FAR_DEADLINE_NANOS);
        probe.admit("urgent1", 0, FAR_DEADLINE_NANOS);
        probe.admit("urgent2", 0, FAR_DEADLINE_NANOS);
        for (int call = 0; call < 4; call++) {
            probe.release(SERVICE_NANOS);
        }
        assertThat(probe.decisions)
                .containsExactly(
                        "first granted",
                        "urgent1 granted",
                        "urgent2 granted",
                        "normal granted",
                        "low granted");
    }

    @ParameterizedTest(name = "{0} into a queue of {1} and {2}: {3}")
    @CsvSource({
        "0, 9, 9, b EVICTED",
        "0, 5, 9, b EVICTED",
        "0, 9, 5, a EVICTED",
        "5, 0, 9, b EVICTED",
        "7, 0, 9, b EVICTED",
        "9, 9, 9, new QUEUE_FULL",
        "5, 0, 5, new QUEUE_FULL",
        "7, 0, 5, new QUEUE_FULL"
    })
    void aFullQueueShedsTheLatestOfTheLeastUrgentCalls(
            int rank, int first, int second, String expected) {
        AdmissionProbe probe =
                new AdmissionProbe(builder().ranks(withoutFloors()).maxQueued(2).build());
        probe.admit("running", 0, FAR_DEADLINE_NANOS);
        probe.admit("a", first, FAR_DEADLINE_NANOS);
        probe.admit("b", second, FAR_DEADLINE_NANOS);
        probe.admit("new", rank, FAR_DEADLINE_NANOS);
        assertThat(probe.decisions).containsExactly("running granted", expected);
    }

    @Test
    void aRankWithAFloorHasAReservedPlaceInAQueueFullOfUrgentCalls() {
        AdmissionProbe probe = new AdmissionProbe(builder().maxQueued(2).build());
        probe.admit("running", 0, FAR_DEADLINE_NANOS);
        probe.admit("a", 0, FAR_DEADLINE_NANOS);
        probe.admit("b", 0, FAR_DEADLINE_NANOS);
        probe.admit("low", 9, FAR_DEADLINE_NANOS);
        assertThat(probe.decisions).containsExactly("running granted", "b EVICTED");
    }

    @Test
    void aCallThatCannotMeetItsDeadlineBehindTheQueueIsShedAtOnce() {
        AdmissionProbe probe = new AdmissionProbe(builder().build());
        probe.admit("measured", 0, FAR_DEADLINE_NANOS);
        probe.release(SERVICE_NANOS);
        probe.admit("running", 0, FAR_DEADLINE_NANOS);
        probe.admit("queued", 0, FAR_DEADLINE_NANOS);
        probe.admit("hopeless", 0, clock.nanos() + 2 * SERVICE_NANOS);
        probe.admit("possible", 0, clock.nanos() + 4 * SERVICE_NANOS);
        assertThat(probe.decisions).endsWith("hopeless DEADLINE");
    }

    @Test
    void aQueuedCallIsShedWhenItCanNoLongerMeetItsDeadline() {
        AdmissionController admission = builder().build();
        AdmissionProbe probe = new AdmissionProbe(admission);
        probe.admit("measured", 0, FAR_DEADLINE_NANOS);
        probe.release(SERVICE_NANOS);
        probe.admit("running", 0, FAR_DEADLINE_NANOS);
        probe.admit("queued", 0, clock.nanos() + 3 * SERVICE_NANOS);
        clock.advance(Duration.ofMillis(25));
        admission.expire();
        assertThat(probe.decisions).endsWith("queued DEADLINE");
    }

    @Test
    void aCallWhoseDeadlineLiesBetweenTheMeanAndThePlannedTimeIsStillQueued() {
        AdmissionProbe probe = new AdmissionProbe(builder().slots(4).build());
        for (int call = 0; call < 20; call++) {
            probe.admit("measured" + call, 0, FAR_DEADLINE_NANOS);
            probe.release(call % 2 == 0 ? SERVICE_NANOS / 2 : 3 * SERVICE_NANOS / 2);
        }
        for (int call = 0; call < 4; call++) {
            probe.admit("running" + call, 0, FAR_DEADLINE_NANOS);
        }
        probe.admit("tight", 0, clock.nanos() + 19 * SERVICE_NANOS / 10);
        probe.release(SERVICE_NANOS);
        assertThat(probe.decisions).endsWith("tight granted");
    }

    @Test
    void aSingleHighSampleDoesNotShedLaterCallsWhileASlotIsFree() {
        AdmissionProbe probe = new AdmissionProbe(builder().build());
        probe.admit("slow", 0, FAR_DEADLINE_NANOS);
        probe.release(TimeUnit.SECONDS.toNanos(10));
        probe.admit("short deadline", 0, clock.nanos() + SERVICE_NANOS);
        assertThat(probe.decisions).endsWith("short deadline granted");
    }

    @Test
    void pressureIsTheLeastUrgentRankThatIsNotShedAndExpires() {
        AdmissionController admission = builder().ranks(withoutFloors()).maxQueued(1).build();
        AdmissionProbe probe = new AdmissionProbe(admission);
        probe.admit("running", 0, FAR_DEADLINE_NANOS);
        probe.admit("low", 9, FAR_DEADLINE_NANOS);
        assertThat(admission.pressure()).isEqualTo(AdmissionController.NO_PRESSURE);
        probe.admit("normal", 5, FAR_DEADLINE_NANOS);
        assertThat(admission.pressure()).isEqualTo(7);
        clock.advance(Duration.ofMillis(150));
        assertThat(admission.pressure()).isEqualTo(AdmissionController.NO_PRESSURE);
    }

    @Test
    void theConnectionLimitBoundsTheSlots() {
        assertThat(builder().slots(50).connections(4).build().state().slots()).isEqualTo(4);
    }

    @Test
    void aReducedLimitIsRespectedOnceRunningCallsHaveEnded() {
        AdmissionController admission = builder().slots(3).build();
        AdmissionProbe probe = new AdmissionProbe(admission);
        for (int call = 0; call < 4; call++) {
            probe.admit("call" + call, 0, FAR_DEADLINE_NANOS);
        }
        admission.resize(1);
        probe.release(SERVICE_NANOS);
        probe.release(SERVICE_NANOS);
        assertThat(probe.decisions).hasSize(3);
        probe.release(SERVICE_NANOS);
        assertThat(probe.decisions).endsWith("call3 granted");
    }

    @Test
    void aReplacementTakesOverUsedSlotsAndTheQueueInTheNewOrder() {
        RankedAdmission before = builder().ranks(withoutFloors()).slots(2).build();
        AdmissionProbe probe = new AdmissionProbe(before);
        probe.admit("a", 9, FAR_DEADLINE_NANOS);
        probe.admit("b", 9, FAR_DEADLINE_NANOS);
        Ticket cancelled = probe.admit("cancelled", 0, FAR_DEADLINE_NANOS);
        probe.admit("low", 9, FAR_DEADLINE_NANOS);
        RankedAdmission after = builder().slots(2).replacing(before).build();
        probe.admit("urgent", 0, FAR_DEADLINE_NANOS);
        cancelled.cancel();
        assertThat(before.state().queued()).isZero();
        assertThat(after.state().running()).isEqualTo(2);
        probe.release(SERVICE_NANOS);
        probe.release(SERVICE_NANOS);
        assertThat(probe.decisions)
                .containsExactlyInAnyOrder(
                        "a granted",
                        "b granted",
                        "cancelled CANCELLED",
                        "urgent granted",
                        "low granted");
    }

    @ParameterizedTest
    @CsvSource({"0, 'slots must be at least 1, was 0'", "-1, 'slots must be at least 1, was -1'"})
    void refusesSlotsBelowOne(int slots, String message) {
        assertThatThrownBy(() -> builder().slots(slots)).hasMessage(message);
        assertThatThrownBy(() -> builder().build().resize(slots)).hasMessage(message);
    }

    /** A server that names a limit must not get more, and urgent calls must go first. */
    @Test
    void aServerThatNamesALimitGetsNoMoreThanThatMostUrgentFirst() {
        RankedAdmission admission = builder().ranks(withoutFloors()).slots(10).build();
        AdmissionProbe probe = new AdmissionProbe(admission);
        admission.limitRate(10);
        probe.admit("low", 9, FAR_DEADLINE_NANOS);
        probe.admit("urgent", 0, FAR_DEADLINE_NANOS);
        assertThat(probe.decisions).isEmpty();
        clock.advance(Duration.ofMillis(100));
        admission.expire();
        assertThat(probe.decisions).containsExactly("urgent granted");
        clock.advance(Duration.ofMillis(100));
        admission.expire();
        assertThat(probe.decisions).containsExactly("urgent granted", "low granted");
    }

    /** A call that the limit delays beyond its deadline must not wait for it. */
    @Test
    void aCallThatTheLimitOfTheServerDelaysBeyondItsDeadlineIsShedAtOnce() {
        RankedAdmission admission = builder().slots(10).build();
        AdmissionProbe probe = new AdmissionProbe(admission);
        admission.limitRate(2);
        probe.admit("first", 0, FAR_DEADLINE_NANOS);
        probe.admit("late", 0, clock.nanos() + TimeUnit.MILLISECONDS.toNanos(900));
        assertThat(probe.decisions).containsExactly("late DEADLINE");
    }

    /** A change of ranks replaces the controller of a server, whose limit still holds. */
    @Test
    void aLimitOutlivesTheReplacementOfItsController() {
        RankedAdmission before = builder().slots(10).build();
        before.limitRate(2);
        RankedAdmission after = builder().slots(10).replacing(before).build();
        AdmissionProbe probe = new AdmissionProbe(after);
        probe.admit("call", 0, FAR_DEADLINE_NANOS);
        assertThat(probe.decisions).isEmpty();
    }

    private RankedAdmission.Builder builder() {
        return RankedAdmission.builder()
                .clock(clock)
                .ranks(RANKS)
                .slots(1)
                .maxQueued(10)
                .maxQueueMillis(1_000);
    }

    private static List<Rank> withoutFloors() {
        return List.of(
                new Rank("urgent", 0, 10, 0),
                new Rank("normal", 5, 2, 0),
                new Rank("minor", 7, 2, 0),
                new Rank("low", 9, 1, 0));
    }
}
