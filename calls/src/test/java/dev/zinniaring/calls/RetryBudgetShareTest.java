package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryBudgetShareTest {
    private static final RetryBudgetShare.Settings SETTINGS =
            new RetryBudgetShare.Settings(0.2, 60, Duration.ofSeconds(10));

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);

    private RetryBudgetShare budget(int nodes) {
        return new RetryBudgetShare(clock, SETTINGS, () -> nodes);
    }

    /** If each node used the whole budget, the nodes together would exceed it. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 13, 80})
    void nodesTogetherStayWithinTheSharedBudget(int nodes) {
        List<RetryBudgetShare> budgets = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            budgets.add(budget(nodes));
        }
        int calls = 0;
        int retries = 0;
        for (RetryBudgetShare budget : budgets) {
            for (int i = 0; i < 50; i++) {
                budget.recordCall("s");
                calls++;
            }
            while (budget.tryTake("s")) {
                retries++;
            }
        }
        assertThat(retries).isPositive();
        assertThat((double) retries).isLessThanOrEqualTo(0.2 * calls + 60);
    }

    /** Spent retries become available again only once the window has slid past them. */
    @Test
    void retriesCountForTheWholeWindow() {
        RetryBudgetShare budget = budget(60);
        assertThat(budget.tryTake("s")).isTrue();
        assertThat(budget.tryTake("s")).isFalse();
        clock.advance(Duration.ofSeconds(9));
        assertThat(budget.tryTake("s")).isFalse();
        clock.advance(Duration.ofSeconds(2));
        assertThat(budget.tryTake("s")).isTrue();
    }

    @Test
    void servicesDoNotShareABudget() {
        RetryBudgetShare budget = budget(60);
        assertThat(budget.tryTake("s")).isTrue();
        assertThat(budget.tryTake("t")).isTrue();
    }
}
