package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost wake-ups of queued calls. The clock does not advance and {@code expire} is
 * never called, so that a call that the dispatcher misses once would wait forever.
 */
class AdmissionStressTest {
    private static final int THREADS = 4;
    private static final int CALLS = 5_000;
    private static final int SLOTS = 3;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ExecutorService threads = Executors.newFixedThreadPool(2 * THREADS);
    private final CountDownLatch decided = new CountDownLatch(THREADS * CALLS);
    private final CountDownLatch ended = new CountDownLatch(THREADS * CALLS);
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger mostRunning = new AtomicInteger();
    private final AtomicReference<RankedAdmission> admission = new AtomicReference<>();

    @AfterEach
    void stopThreads() {
        threads.shutdownNow();
    }

    @Test
    void everyCallIsDecidedWhenPermitsAreReleasedByOtherThreads() throws InterruptedException {
        admission.set(builder().build());
        for (int thread = 0; thread < THREADS; thread++) {
            threads.execute(this::admitCalls);
        }
        assertAllEnd();
    }

    @Test
    void noCallIsLostAndNoSlotIsAddedWhileControllersReplaceEachOther()
            throws InterruptedException {
        admission.set(builder().build());
        for (int thread = 0; thread < THREADS; thread++) {
            threads.execute(this::admitCalls);
        }
        for (int change = 0; change < 200; change++) {
            RankedAdmission before = admission.get();
            admission.set(builder().replacing(before).build());
        }
        assertAllEnd();
    }

    private RankedAdmission.Builder builder() {
        return RankedAdmission.builder()
                .clock(clock)
                .ranks(FloodSimulation.RANKS)
                .slots(SLOTS)
                .maxQueued(THREADS * CALLS);
    }

    private void admitCalls() {
        long deadlineNanos = TimeUnit.HOURS.toNanos(1);
        for (int call = 0; call < CALLS; call++) {
            admission
                    .get()
                    .admit(new CallInfo(call % 4, deadlineNanos), new AsyncReleaseCallback());
        }
    }

    private void assertAllEnd() throws InterruptedException {
        assertThat(decided.await(60, TimeUnit.SECONDS)).isTrue();
        assertThat(ended.await(60, TimeUnit.SECONDS)).isTrue();
        assertThat(mostRunning.get()).isBetween(1, SLOTS);
        assertThat(admission.get().state().running()).isZero();
        assertThat(admission.get().state().queued()).isZero();
        assertThat(running.get()).isZero();
    }

    private final class AsyncReleaseCallback implements AdmissionCallback {
        @Override
        public void granted(Permit permit) {
            mostRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
            decided.countDown();
            threads.execute(
                    () -> {
                        running.decrementAndGet();
                        permit.release(RunOutcome.COMPLETED, 1_000);
                        ended.countDown();
                    });
        }

        @Override
        public void shed(ShedReason reason) {
            decided.countDown();
            ended.countDown();
        }
    }
}
