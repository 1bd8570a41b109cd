package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plays bursts that a loop cannot start within one round. */
class StartQueueTest {
    private static final Duration START_TIME = Duration.ofNanos(StartQueue.SLICE_NANOS / 2);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final Deque<Runnable> rounds = new ArrayDeque<>();
    private final StartQueue queue = new StartQueue(clock, rounds::add);
    private final List<Integer> started = new ArrayList<>();

    private void add(int number) {
        queue.add(
                () -> {
                    started.add(number);
                    clock.advance(START_TIME);
                });
    }

    private void runRound() {
        rounds.remove().run();
    }

    @Test
    void requestsStartInTheirOrderAndTheLoopReadsBetweenSlices() {
        for (int number = 0; number < 5; number++) {
            add(number);
        }
        assertThat(started).isEmpty();
        runRound();
        assertThat(started).containsExactly(0, 1);
        runRound();
        runRound();
        assertThat(started).containsExactly(0, 1, 2, 3, 4);
        assertThat(rounds).isEmpty();
    }

    @Test
    void aRequestThatTakesLongerThanASliceDoesNotStopTheQueue() {
        queue.add(() -> clock.advance(Duration.ofSeconds(1)));
        add(1);
        runRound();
        assertThat(started).isEmpty();
        runRound();
        assertThat(started).containsExactly(1);
    }

    @Test
    void theTimeThatEachRequestWaitsIsReported() {
        List<Long> waitsNanos = new ArrayList<>();
        queue.onStart(waitsNanos::add);
        add(0);
        add(1);
        runRound();
        assertThat(waitsNanos).containsExactly(0L, START_TIME.toNanos());
    }
}
