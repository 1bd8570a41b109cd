package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlotQueueTest {
    private static final long MILLI = 1_000_000L;

    private final SlotQueue<String> queue = new SlotQueue<>();

    private static SlotQueue.Demand demand(int rank, long expected, long target, long deadline) {
        return new SlotQueue.Demand(
                rank, false, expected * MILLI, target * MILLI, deadline * MILLI);
    }

    private static SlotQueue.Demand urgent(int rank, long expected, long target, long deadline) {
        return new SlotQueue.Demand(rank, true, expected * MILLI, target * MILLI, deadline * MILLI);
    }

    /** A flood of history reads must not go before an order that comes after it. */
    @Test
    void anUrgentCallGoesBeforeLessUrgentOnesThatCameFirst() {
        queue.offer("history", demand(2, 10, 2_000, 2_500), 6, 0, 0);
        queue.offer("order", demand(0, 10, 250, 500), 6, 0, 0);
        assertThat(queue.poll(false, 0)).isEqualTo("order");
        assertThat(queue.poll(false, 0)).isEqualTo("history");
    }

    /** A lookup that another run waits for must not wait behind long calls of its rank. */
    @Test
    void withinARankTheEarliestTargetGoesFirst() {
        queue.offer("long", demand(1, 10, 400, 1_000), 6, 0, 0);
        queue.offer("lookup", demand(1, 10, 120, 250), 6, 0, 0);
        assertThat(queue.poll(false, 0)).isEqualTo("lookup");
    }

    /** A call that would be answered after its deadline must not wait for that in vain. */
    @Test
    void aCallThatCannotMeetItsDeadlineIsRefusedAtOnce() {
        for (int i = 0; i < 20; i++) {
            queue.offer("ahead", demand(0, 100, 10_000, 10_000), 2, 0, 0);
        }
        assertThat(queue.offer("late", demand(1, 100, 300, 800), 2, 0, 0)).isNull();
    }

    /** Otherwise a saturated server would answer every call late. */
    @Test
    void aCallThatWouldMissItsTargetAfterALongWaitIsRefused() {
        for (int i = 0; i < 8; i++) {
            queue.offer("ahead", demand(0, 100, 10_000, 10_000), 2, 0, 0);
        }
        assertThat(queue.offer("late", demand(1, 100, 300, 1_000), 2, 0, 0)).isNull();
        assertThat(queue.offer("urgent", urgent(1, 100, 300, 1_000), 2, 0, 0)).isNotNull();
    }

    /** Slots for urgent calls must not be given to others because these wait. */
    @Test
    void onlyUrgentCallsAreTakenWhileOnlyTheirSlotsAreFree() {
        queue.offer("common", demand(1, 10, 300, 800), 6, 0, 0);
        assertThat(queue.poll(true, 0)).isNull();
        queue.offer("urgent", urgent(2, 10, 300, 800), 6, 0, 0);
        assertThat(queue.poll(true, 0)).isEqualTo("urgent");
    }

    /** A call whose deadline passes while it waits must be refused as not run. */
    @Test
    void callsThatWaitedTooLongAreHandedBack() {
        queue.offer("call", demand(1, 40, 300, 100), 6, 0, 0);
        assertThat(queue.removeHopeless(50 * MILLI)).isEmpty();
        assertThat(queue.removeHopeless(90 * MILLI)).containsExactly("call");
        assertThat(queue.size()).isZero();
    }

    /** A caller that has left must not get a slot. */
    @Test
    void aRemovedCallIsNotTaken() {
        SlotQueue.Entry<String> entry = queue.offer("left", demand(1, 10, 300, 800), 6, 0, 0);
        queue.remove(entry);
        assertThat(queue.poll(false, 0)).isNull();
    }

    /**
     * With a queue as long as the target, a third of the history reads on one server timed out in
     * their slots, and so few were answered that their kind counted as starved.
     */
    @Test
    void theQueueIsShorterThanTheTarget() {
        int accepted = 0;
        while (queue.offer("read", demand(2, 480, 2_000, 2_000), 15, 15 * 480 * MILLI, 0) != null) {
            accepted++;
        }
        long lastDoneMillis = 240 + 480L * accepted / 15 + 480;
        assertThat(lastDoneMillis).isBetween(1_200L, 1_600L);
    }
}
