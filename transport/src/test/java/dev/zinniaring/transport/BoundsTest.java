package dev.zinniaring.transport;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.transport.MessageCodec.Overflow;
import dev.zinniaring.transport.SendQueue.OfferResult;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Tests the send queue, the back-off and the byte budget, which bound a node's resources. */
class BoundsTest {
    private static final OutFrame FRAME = frame(Overflow.FAIL_LINK);

    @Test
    void aFullQueueDropsTheOldestDroppableFrames() {
        SendQueue queue = new SendQueue(3, 1_000_000);
        OutFrame kept = frame(Overflow.FAIL_LINK);
        OutFrame oldest = frame(Overflow.DROP_OLDEST);
        OutFrame newer = frame(Overflow.DROP_OLDEST);
        OutFrame newest = frame(Overflow.FAIL_LINK);
        List.of(kept, oldest, newer).forEach(queue::offer);
        assertThat(queue.offer(newest)).isEqualTo(OfferResult.DROPPED_SOME);
        List<OutFrame> left = new ArrayList<>();
        queue.forEach(left::add);
        assertThat(left).containsExactly(kept, newer, newest);
    }

    @Test
    void aFullQueueWithoutDroppableFramesFailsTheLink() {
        SendQueue queue = new SendQueue(10, 2L * FRAME.sizeBytes());
        queue.offer(frame(Overflow.FAIL_LINK));
        queue.offer(frame(Overflow.FAIL_LINK));
        assertThat(queue.offer(frame(Overflow.FAIL_LINK))).isEqualTo(OfferResult.FULL);
        assertThat(queue.offer(frame(Overflow.DROP_OLDEST))).isEqualTo(OfferResult.DROPPED_SOME);
        assertThat(queue.size()).isEqualTo(2);
        assertThat(queue.bytes()).isEqualTo(2L * FRAME.sizeBytes());
    }

    /** Guards against a corrupt stream, caused by dropping the rest of a partly written frame. */
    @Test
    void aFrameThatIsPartlyWrittenIsNotDropped() {
        SendQueue queue = new SendQueue(1, 1_000_000);
        OutFrame writing = frame(Overflow.DROP_OLDEST);
        queue.offer(writing);
        writing.bytes().get();
        queue.offer(frame(Overflow.DROP_OLDEST));
        assertThat(queue.peek()).isSameAs(writing);
    }

    @Test
    void theBackOffDoublesItsBoundUpToTheMaximumAndCanBeReset() {
        FullJitterBackOff backOff =
                new FullJitterBackOff(
                        Duration.ofMillis(100), Duration.ofMillis(400), random(Long.MAX_VALUE));
        List<Long> bounds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            bounds.add(backOff.next().toMillis());
        }
        backOff.reset();
        bounds.add(backOff.next().toMillis());
        assertThat(bounds).containsExactly(100L, 200L, 400L, 400L, 100L);
    }

    /** Guards against synchronised reconnects: delays must be spread over the whole range. */
    @Test
    void theBackOffSpreadsDelaysFromZero() {
        SplittableRandom random = new SplittableRandom(4);
        long below = 0;
        for (int i = 0; i < 1_000; i++) {
            FullJitterBackOff backOff =
                    new FullJitterBackOff(Duration.ofMillis(100), Duration.ofSeconds(10), random);
            below += backOff.next().toMillis() < 50 ? 1 : 0;
        }
        assertThat(below).isBetween(400L, 600L);
    }

    /** Guards against a lost update that lets callers exceed the budget or never return it. */
    @Test
    void theByteBudgetIsLinearizable() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(2)
                .actorsPerThread(3)
                .check(BudgetOperations.class);
    }

    /** Operations on a budget of two units. */
    public static class BudgetOperations {
        private final ByteBudget budget = new ByteBudget(2);

        /** Acquires one unit. */
        @Operation
        public boolean take() {
            return budget.tryAcquire(1);
        }

        /** Acquires all units. */
        @Operation
        public boolean takeAll() {
            return budget.tryAcquire(2);
        }

        /** Releases one unit. */
        @Operation
        public void give() {
            budget.release(1);
        }

        /** Returns the units in use. */
        @Operation
        public long used() {
            return budget.used();
        }
    }

    private static OutFrame frame(Overflow overflow) {
        return OutFrame.of(Note.codec(100, overflow), Note.of(1));
    }

    /** Returns a generator that always yields the largest value below the bound. */
    private static java.util.random.RandomGenerator random(long value) {
        return new java.util.random.RandomGenerator() {
            @Override
            public long nextLong() {
                return value;
            }

            @Override
            public long nextLong(long bound) {
                return bound - 1;
            }
        };
    }
}
