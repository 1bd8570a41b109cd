package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.IntToLongFunction;
import org.junit.jupiter.api.Test;

class SlotQueueTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final SlotQueue<String> queue = new SlotQueue<>();

    private static SlotQueue.CallProfile profile(
            int rank, long expected, long target, long deadline) {
        return new SlotQueue.CallProfile(
                rank,
                false,
                expected * NANOS_PER_MILLI,
                target * NANOS_PER_MILLI,
                deadline * NANOS_PER_MILLI);
    }

    private static SlotQueue.CallProfile urgent(
            int rank, long expected, long target, long deadline) {
        return new SlotQueue.CallProfile(
                rank,
                true,
                expected * NANOS_PER_MILLI,
                target * NANOS_PER_MILLI,
                deadline * NANOS_PER_MILLI);
    }

    /** A backlog of history reads must not delay an order that arrives later. */
    @Test
    void aCallOfAMoreUrgentRankOvertakesEarlierCalls() {
        queue.offer("history", profile(2, 10, 2_000, 2_500), 6, 0, 0);
        queue.offer("order", profile(0, 10, 250, 500), 6, 0, 0);
        assertThat(queue.poll(false, 0)).isEqualTo("order");
        assertThat(queue.poll(false, 0)).isEqualTo("history");
    }

    /** A lookup on which a running call depends must not wait behind long calls of its rank. */
    @Test
    void withinARankTheEarliestTargetGoesFirst() {
        queue.offer("long", profile(1, 10, 400, 1_000), 6, 0, 0);
        queue.offer("lookup", profile(1, 10, 120, 250), 6, 0, 0);
        assertThat(queue.poll(false, 0)).isEqualTo("lookup");
    }

    /** A call that cannot be answered before its deadline must not be queued. */
    @Test
    void aCallThatCannotMeetItsDeadlineIsRefusedImmediately() {
        for (int i = 0; i < 20; i++) {
            queue.offer("ahead", profile(0, 100, 10_000, 10_000), 2, 0, 0);
        }
        assertThat(queue.offer("late", profile(1, 100, 300, 800), 2, 0, 0)).isNull();
    }

    /** Without this rule, a saturated server would answer every call after its target. */
    @Test
    void aCallThatWouldMissItsTargetAfterALongWaitIsRefused() {
        for (int i = 0; i < 8; i++) {
            queue.offer("ahead", profile(0, 100, 10_000, 10_000), 2, 0, 0);
        }
        assertThat(queue.offer("late", profile(1, 100, 300, 1_000), 2, 0, 0)).isNull();
        assertThat(queue.offer("urgent", urgent(1, 100, 300, 1_000), 2, 0, 0)).isNotNull();
    }

    /** Reserved slots must not go to other calls, even if only those are waiting. */
    @Test
    void onlyUrgentCallsAreTakenWhileOnlyReservedSlotsAreFree() {
        queue.offer("common", profile(1, 10, 300, 800), 6, 0, 0);
        assertThat(queue.poll(true, 0)).isNull();
        queue.offer("urgent", urgent(2, 10, 300, 800), 6, 0, 0);
        assertThat(queue.poll(true, 0)).isEqualTo("urgent");
    }

    /** A call whose deadline passes while it is queued must be reported as not run. */
    @Test
    void expiredCallsAreRemoved() {
        queue.offer("call", profile(1, 40, 300, 100), 6, 0, 0);
        assertThat(queue.removeExpired(50 * NANOS_PER_MILLI)).isEmpty();
        assertThat(queue.removeExpired(90 * NANOS_PER_MILLI)).containsExactly("call");
        assertThat(queue.size()).isZero();
    }

    /** A call whose caller has disconnected must not occupy a slot. */
    @Test
    void aRemovedCallIsNotTaken() {
        SlotQueue.Entry<String> entry = queue.offer("left", profile(1, 10, 300, 800), 6, 0, 0);
        queue.remove(entry);
        assertThat(queue.poll(false, 0)).isNull();
    }

    /**
     * With a queue as long as the target, a third of the history reads on one server timed out
     * while running, and so few were answered that this class of calls counted as starved.
     */
    @Test
    void theQueueIsShorterThanTheTarget() {
        int accepted = 0;
        while (queue.offer("read", profile(2, 480, 2_000, 2_000), 15, 15 * 480 * NANOS_PER_MILLI, 0)
                != null) {
            accepted++;
        }
        long lastDoneMillis = 240 + 480L * accepted / 15 + 480;
        assertThat(lastDoneMillis).isBetween(1_200L, 1_600L);
    }

    /** A call that orders have pushed beyond its deadline must be refused before that deadline. */
    @Test
    void aCallThatMoreUrgentOnesDelayBeyondItsDeadlineIsRemovedAtOnce() {
        IntToLongFunction tenPerSecond = ahead -> (ahead + 1) * 100 * NANOS_PER_MILLI;
        queue.offer("lookup", profile(1, 50, 400, 400), 6, 0, 0, tenPerSecond);
        for (int i = 0; i < 3; i++) {
            assertThat(queue.removeDelayed(tenPerSecond, 0)).isEmpty();
            queue.offer("order", profile(0, 50, 2_000, 2_000), 6, 0, 0, tenPerSecond);
        }
        assertThat(queue.removeDelayed(tenPerSecond, 0)).containsExactly("lookup");
        assertThat(queue.size()).isEqualTo(3);
    }
}
