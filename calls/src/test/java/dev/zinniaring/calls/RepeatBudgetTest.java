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

class RepeatBudgetTest {
    private static final RepeatBudget.Settings SETTINGS =
            new RepeatBudget.Settings(0.2, 60, Duration.ofSeconds(10));

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);

    private RepeatBudget budget(int nodes) {
        return new RepeatBudget(clock, SETTINGS, () -> nodes);
    }

    /** Nodes that each kept the whole budget would exceed it together. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 13, 80})
    void nodesTogetherStayWithinTheSharedBudget(int nodes) {
        List<RepeatBudget> budgets = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            budgets.add(budget(nodes));
        }
        int calls = 0;
        int repeats = 0;
        for (RepeatBudget budget : budgets) {
            for (int i = 0; i < 50; i++) {
                budget.called("s");
                calls++;
            }
            while (budget.take("s")) {
                repeats++;
            }
        }
        assertThat(repeats).isPositive();
        assertThat((double) repeats).isLessThanOrEqualTo(0.2 * calls + 60);
    }

    /** The window slides: what was spent is free again only after the whole window. */
    @Test
    void repeatsCountForTheWholeWindow() {
        RepeatBudget budget = budget(60);
        assertThat(budget.take("s")).isTrue();
        assertThat(budget.take("s")).isFalse();
        clock.advance(Duration.ofSeconds(9));
        assertThat(budget.take("s")).isFalse();
        clock.advance(Duration.ofSeconds(2));
        assertThat(budget.take("s")).isTrue();
    }

    @Test
    void servicesDoNotShareABudget() {
        RepeatBudget budget = budget(60);
        assertThat(budget.take("s")).isTrue();
        assertThat(budget.take("t")).isTrue();
    }
}
