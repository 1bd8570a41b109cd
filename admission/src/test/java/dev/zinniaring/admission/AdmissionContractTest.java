package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the guarantees of all controllers with a limit, also with failing callbacks and concurrent
 * calls. Guards against calls that run beyond the limit, that are decided twice or never, and slots
 * that are not given back.
 */
class AdmissionContractTest {
    private static final long FAR_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);

    static Stream<Function<ManualClock, AdmissionController>> controllers() {
        return Stream.of(
                clock ->
                        RankedAdmission.builder()
                                .clock(clock)
                                .slots(2)
                                .maxQueued(2)
                                .maxQueueMillis(100)
                                .build(),
                clock -> new FifoAdmission(clock, 2, 2, 100));
    }

    @ParameterizedTest
    @MethodSource("controllers")
    void grantsUpToTheSlotsThenQueuesThenSheds(
            Function<ManualClock, AdmissionController> controller) {
        AdmissionProbe probe = new AdmissionProbe(controller.apply(clock));
        for (String name : List.of("a", "b", "c", "d", "e")) {
            probe.admit(name, 0, FAR_DEADLINE_NANOS);
        }
        assertThat(probe.decisions).containsExactly("a granted", "b granted", "e QUEUE_FULL");
        probe.release(1_000);
        assertThat(probe.decisions).endsWith("c granted");
    }

    @ParameterizedTest
    @MethodSource("controllers")
    void aSecondReleaseOfAPermitFreesNoSecondSlot(
            Function<ManualClock, AdmissionController> controller) {
        AdmissionController admission = controller.apply(clock);
        AdmissionProbe probe = new AdmissionProbe(admission);
        probe.admit("a", 0, FAR_DEADLINE_NANOS);
        Permit permit = probe.permits.getFirst();
        permit.release(RunOutcome.COMPLETED, 1_000);
        permit.release(RunOutcome.COMPLETED, 1_000);
        assertThat(admission.state().running()).isZero();
    }

    @ParameterizedTest
    @MethodSource("controllers")
    void drainingShedsQueuedAndNewCallsAndLetsRunningOnesFinish(
            Function<ManualClock, AdmissionController> controller) {
        AdmissionController admission = controller.apply(clock);
        AdmissionProbe probe = new AdmissionProbe(admission);
        Stream.of("a", "b", "c").forEach(name -> probe.admit(name, 0, FAR_DEADLINE_NANOS));
        admission.drain();
        probe.admit("d", 0, FAR_DEADLINE_NANOS);
        assertThat(probe.decisions).containsSubsequence("c DRAINING", "d DRAINING");
        assertThat(admission.state().running()).isEqualTo(2);
        probe.release(1_000);
        probe.release(1_000);
        assertThat(admission.state().running()).isZero();
    }

    @ParameterizedTest
    @MethodSource("controllers")
    void aQueuedCallIsShedOnceItHasWaitedTooLong(
            Function<ManualClock, AdmissionController> controller) {
        AdmissionController admission = controller.apply(clock);
        AdmissionProbe probe = new AdmissionProbe(admission);
        Stream.of("a", "b", "c").forEach(name -> probe.admit(name, 0, FAR_DEADLINE_NANOS));
        clock.advance(Duration.ofMillis(101));
        admission.expire();
        assertThat(probe.decisions).endsWith("c QUEUE_TIMEOUT");
        assertThat(admission.state().queued()).isZero();
    }

    @ParameterizedTest
    @MethodSource("controllers")
    void aCancelledCallIsReportedAsCancelledAndNeverRuns(
            Function<ManualClock, AdmissionController> controller) {
        AdmissionProbe probe = new AdmissionProbe(controller.apply(clock));
        probe.admit("a", 0, FAR_DEADLINE_NANOS);
        probe.admit("b", 0, FAR_DEADLINE_NANOS);
        Ticket ticket = probe.admit("c", 0, FAR_DEADLINE_NANOS);
        ticket.cancel();
        ticket.cancel();
        probe.release(1_000);
        assertThat(probe.decisions).containsExactly("a granted", "b granted", "c CANCELLED");
    }

    @ParameterizedTest
    @MethodSource("controllers")
    void addedSlotsServeTheQueueAtOnce(Function<ManualClock, AdmissionController> controller) {
        AdmissionController admission = controller.apply(clock);
        AdmissionProbe probe = new AdmissionProbe(admission);
        Stream.of("a", "b", "c").forEach(name -> probe.admit(name, 0, FAR_DEADLINE_NANOS));
        admission.resize(3);
        assertThat(probe.decisions).endsWith("c granted");
    }

    @ParameterizedTest
    @MethodSource("controllers")
    void aFailingCallbackNeitherLosesItsSlotNorStopsTheQueue(
            Function<ManualClock, AdmissionController> controller) {
        AdmissionController admission = controller.apply(clock);
        AdmissionProbe probe = new AdmissionProbe(admission);
        probe.admit("a", 0, FAR_DEADLINE_NANOS);
        probe.admit("b", 0, FAR_DEADLINE_NANOS);
        admission.admit(new CallInfo(0, FAR_DEADLINE_NANOS), new FailingCallback());
        probe.admit("d", 0, FAR_DEADLINE_NANOS);
        assertThatThrownBy(() -> probe.release(1_000)).hasMessage("callback");
        assertThat(probe.decisions).endsWith("d granted");
        probe.release(1_000);
        probe.release(1_000);
        assertThat(admission.state().running()).isZero();
    }

    @ParameterizedTest
    @MethodSource("controllers")
    void concurrentCallsNeverExceedTheSlotsAndAreEachDecidedOnce(
            Function<ManualClock, AdmissionController> controller) throws InterruptedException {
        AdmissionController admission = controller.apply(clock);
        AtomicInteger running = new AtomicInteger();
        AtomicInteger mostRunning = new AtomicInteger();
        AtomicInteger decided = new AtomicInteger();
        AdmissionCallback callback =
                new AdmissionCallback() {
                    @Override
                    public void granted(Permit permit) {
                        mostRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
                        decided.incrementAndGet();
                        Thread.onSpinWait();
                        running.decrementAndGet();
                        permit.release(RunOutcome.COMPLETED, 1_000);
                    }

                    @Override
                    public void shed(ShedReason reason) {
                        decided.incrementAndGet();
                    }
                };
        ExecutorService threads = Executors.newFixedThreadPool(4);
        for (int thread = 0; thread < 4; thread++) {
            threads.execute(
                    () -> {
                        for (int call = 0; call < 5_000; call++) {
                            admission.admit(new CallInfo(call % 3, FAR_DEADLINE_NANOS), callback);
                        }
                    });
        }
        threads.shutdown();
        assertThat(threads.awaitTermination(60, TimeUnit.SECONDS)).isTrue();
        assertThat(mostRunning.get()).isBetween(1, 2);
        assertThat(decided.get()).isEqualTo(20_000);
        assertThat(admission.state().running()).isZero();
        assertThat(admission.state().queued()).isZero();
    }

    @Test
    void unlimitedAdmissionRunsEveryCallAtOnce() {
        AdmissionController admission = new UnlimitedAdmission(2);
        AdmissionProbe probe = new AdmissionProbe(admission);
        Stream.of("a", "b", "c").forEach(name -> probe.admit(name, 0, FAR_DEADLINE_NANOS));
        assertThat(admission.state().running()).isEqualTo(3);
    }

    private static final class FailingCallback implements AdmissionCallback {
        @Override
        public void granted(Permit permit) {
            throw new IllegalStateException("callback");
        }

        @Override
        public void shed(ShedReason reason) {}
    }
}
