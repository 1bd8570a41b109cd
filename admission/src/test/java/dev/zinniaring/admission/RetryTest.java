package dev.zinniaring.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against retries of calls that must not run twice, and against retries that multiply along
 * a chain of failing hops.
 */
class RetryTest {
    private static final RetryPolicy POLICY = new BudgetedRetry(5);

    @ParameterizedTest
    @CsvSource({
        // idempotent, maxRetries, attempt, knownNotRun, inbound, shedding, left, retry
        "true,  2, 1, false, 1, false, 9, true",
        "false, 2, 1, true,  1, false, 9, true",
        "false, 2, 1, false, 1, false, 9, false",
        "true,  2, 2, false, 1, false, 9, false",
        "false, 2, 2, true,  1, false, 9, true",
        "true,  2, 3, true,  1, false, 9, false",
        "true,  0, 1, true,  1, false, 9, false",
        "true,  2, 1, true,  2, false, 9, false",
        "true,  2, 1, true,  1, true,  9, false",
        "true,  2, 1, true,  1, false, 4, false"
    })
    void retriesOnlyWhenSafeAndUseful(
            boolean idempotent,
            int maxRetries,
            int attempt,
            boolean knownNotRun,
            int inbound,
            boolean shedding,
            long left,
            boolean expected) {
        RetryBudget budget = new RetryBudget(100);
        budget.recordCall();
        FailedAttempt failed =
                new FailedAttempt(
                        idempotent, maxRetries, attempt, knownNotRun, inbound, shedding, left);
        assertThat(POLICY.mayRetry(failed, budget)).isEqualTo(expected);
        assertThat(budget.tokens()).isEqualTo(expected ? 0 : 1);
    }

    @Test
    void anEmptyBudgetForbidsRetries() {
        FailedAttempt failed = new FailedAttempt(true, 2, 1, true, 1, false, 9);
        assertThat(POLICY.mayRetry(failed, new RetryBudget(10))).isFalse();
    }

    @Test
    void aBudgetOfTenPercentAllowsOneRetryPerTenCalls() {
        RetryBudget budget = new RetryBudget(10);
        for (int call = 0; call < 10; call++) {
            budget.recordCall();
        }
        assertThat(budget.trySpend()).isTrue();
        assertThat(budget.trySpend()).isFalse();
    }

    @Test
    void aChainOfTenFailingHopsMultipliesAttemptsOnlyInTheBaseline() {
        assertThat(attemptsAtLastHop(new UnbudgetedRetry(), 10, 2)).isEqualTo(59_049);
        assertThat(attemptsAtLastHop(POLICY, 10, 2)).isEqualTo(2);
    }

    /**
     * Counts the attempts at the last hop when it always fails and it is unknown whether calls ran.
     */
    private static int attemptsAtLastHop(RetryPolicy policy, int hops, int maxRetries) {
        RetryBudget budget = new RetryBudget(100);
        for (int call = 0; call < 20; call++) {
            budget.recordCall();
        }
        return attempts(policy, budget, hops, maxRetries, 1);
    }

    private static int attempts(
            RetryPolicy policy, RetryBudget budget, int hops, int maxRetries, int inbound) {
        if (hops == 0) {
            return 1;
        }
        int total = 0;
        int attempt = 0;
        boolean retry = true;
        while (retry) {
            attempt++;
            int carried = Math.max(inbound, attempt);
            total += attempts(policy, budget, hops - 1, maxRetries, carried);
            // Other hops pass a failure of a later hop on; only the baseline retries it.
            boolean sawFailure = hops == 1 || policy instanceof UnbudgetedRetry;
            FailedAttempt failed =
                    new FailedAttempt(true, maxRetries, attempt, false, inbound, false, 9);
            retry = sawFailure && policy.mayRetry(failed, budget);
        }
        return total;
    }

    @ParameterizedTest
    @CsvSource({"-1", "101"})
    void refusesAPercentageOutOfBounds(int percent) {
        assertThatThrownBy(() -> new RetryBudget(percent))
                .hasMessage("percent must be from 0 to 100, was " + percent);
    }
}
