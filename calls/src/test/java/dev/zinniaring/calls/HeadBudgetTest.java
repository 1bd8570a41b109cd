package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HeadBudgetTest {
    private static final int CAPACITY_BYTES = 2_000_000;
    private static final int LINES_OF_LARGE_HEAD = 1_000;

    private final HeadBudget budget = new HeadBudget(CAPACITY_BYTES);

    private boolean add(HeadBudget.Claim claim, int lines) {
        for (int i = 0; i < lines; i++) {
            if (!claim.addLine(2)) {
                return false;
            }
        }
        return true;
    }

    /** Ordinary callers must be served while a crowd of large heads fills its part. */
    @Test
    void largeHeadsLeaveRoomForOrdinaryOnes() {
        List<HeadBudget.Claim> held = new ArrayList<>();
        HeadBudget.Claim large = budget.claim();
        while (add(large, LINES_OF_LARGE_HEAD)) {
            held.add(large);
            large = budget.claim();
        }
        assertThat(held).hasSizeGreaterThan(1);
        for (int i = 0; i < 100; i++) {
            assertThat(add(budget.claim(), 10)).isTrue();
        }
    }

    @Test
    void theBudgetIsNeverExceededAndIsFreeOnceAllClaimsAreReleased() {
        List<HeadBudget.Claim> claims = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            HeadBudget.Claim claim = budget.claim();
            claims.add(claim);
            add(claim, 20);
            assertThat(budget.totalBytes()).isLessThanOrEqualTo(CAPACITY_BYTES);
        }
        claims.forEach(HeadBudget.Claim::release);
        claims.forEach(HeadBudget.Claim::release);
        assertThat(budget.totalBytes()).isZero();
    }

    @Test
    void eachRefusedHeadIsReportedOnce() {
        List<Integer> refusals = new ArrayList<>();
        budget.onRefusal(() -> refusals.add(1));
        HeadBudget.Claim claim = budget.claim();
        assertThat(add(claim, 100_000)).isFalse();
        assertThat(claim.addLine(1)).isFalse();
        assertThat(refusals).hasSize(1);
    }
}
