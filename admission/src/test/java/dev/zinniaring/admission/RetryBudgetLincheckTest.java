package dev.zinniaring.admission;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Guards against two threads spending the same token. */
public class RetryBudgetLincheckTest {
    private final RetryBudget budget = new RetryBudget(100);

    @Operation
    public void called() {
        budget.recordCall();
    }

    @Operation
    public boolean spend() {
        return budget.trySpend();
    }

    @Operation
    public int tokens() {
        return budget.tokens();
    }

    @Test
    void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(3)
                .check(getClass());
    }
}
