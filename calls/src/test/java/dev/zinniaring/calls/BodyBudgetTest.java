package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which bodies a node reads, keeps waiting and refuses when many arrive at once. */
class BodyBudgetTest {
    private static final long HEAP_BYTES = 28L << 20;
    private static final long LONG_BYTES = 1_280L << 10;
    private static final int SHORT_BYTES = 300;

    /** Long bodies of callers that are held at once. */
    private static final int HELD = 4;

    private final BodyBudget budget = BodyBudget.ofHeap(HEAP_BYTES);
    private final BodyBudget.Share callers = budget.share();
    private final BodyBudget.Share peers = budget.share();

    private void ignore() {}

    private List<BodyBudget.Claim> claims(BodyBudget.Share share, int count, long bytes) {
        List<BodyBudget.Claim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            claims.add(share.claim(bytes, this::ignore));
        }
        return claims;
    }

    /** Many long bodies at once used to fill the heap, and nothing else was read any more. */
    @Test
    void aBurstOfLongBodiesLeavesRoomForShortOnes() {
        List<BodyBudget.Claim> burst = claims(callers, 41, LONG_BYTES);
        assertThat(burst.stream().filter(BodyBudget.Claim::granted)).hasSize(HELD);
        assertThat(budget.totalBytes()).isLessThan(HEAP_BYTES / 2);
        for (int i = 0; i < 1_000; i++) {
            BodyBudget.Claim small = callers.claim(SHORT_BYTES, this::ignore);
            assertThat(small.granted()).isTrue();
            small.release();
        }
    }

    /** Two nodes that wait for each other's memory would answer nothing until the deadline. */
    @Test
    void bodiesOfCallersLeaveRoomForThoseOfPeers() {
        claims(callers, 41, LONG_BYTES);
        assertThat(peers.claim(LONG_BYTES, this::ignore).granted()).isTrue();
    }

    @Test
    void waitingBodiesAreReadInOrderOfArrival() {
        List<BodyBudget.Claim> running = claims(callers, HELD, LONG_BYTES);
        List<Integer> granted = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            int number = i;
            callers.claim(LONG_BYTES, () -> granted.add(number));
        }
        running.forEach(BodyBudget.Claim::release);
        assertThat(granted).containsExactly(0, 1, 2, 3);
    }

    /** A body that can never be held would wait until its deadline. */
    @Test
    void aBodyLargerThanTheBudgetIsRefusedAtOnce() {
        assertThat(callers.claim(HEAP_BYTES, this::ignore).refused()).isTrue();
    }

    @Test
    void aBodyOfUnknownLengthGrowsOnlyWhileThereIsRoom() {
        BodyBudget.Claim chunked = callers.claim(0, this::ignore);
        while (chunked.grow(16 << 10)) {
            assertThat(budget.totalBytes()).isLessThan(HEAP_BYTES);
        }
        chunked.release();
        assertThat(budget.totalBytes()).isZero();
    }

    /** A client that leaves while its body waits must not keep its place. */
    @Test
    void aReleasedClaimThatWaitedIsNotGranted() {
        List<BodyBudget.Claim> running = claims(callers, HELD, LONG_BYTES);
        BodyBudget.Claim left = callers.claim(LONG_BYTES, this::ignore);
        BodyBudget.Claim next = callers.claim(LONG_BYTES, this::ignore);
        left.release();
        running.get(0).release();
        assertThat(left.granted()).isFalse();
        assertThat(next.granted()).isTrue();
    }

    /** Claims of random sizes come and end; nothing is lost, and nothing waits without cause. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noLoadExceedsTheBudgetOrLeavesAnythingBehind(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Deque<BodyBudget.Claim> open = new ArrayDeque<>();
        for (int i = 0; i < 20_000; i++) {
            if (open.isEmpty() || random.nextInt(100) < 52) {
                BodyBudget.Share share = random.nextBoolean() ? callers : peers;
                long bytes = 1L << random.nextInt(24);
                BodyBudget.Claim claim = share.claim(bytes, this::ignore);
                if (!claim.refused()) {
                    open.add(claim);
                }
            } else {
                open.remove().release();
            }
            assertThat(budget.totalBytes()).isBetween(0L, (long) (0.36 * HEAP_BYTES));
        }
        open.forEach(BodyBudget.Claim::release);
        assertThat(budget.totalBytes()).isZero();
        assertThat(callers.contended() || peers.contended()).isFalse();
    }
}
