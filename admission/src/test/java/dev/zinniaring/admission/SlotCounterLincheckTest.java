package dev.zinniaring.admission;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Guards against an acquisition beyond the limit when several threads race for the last slot. */
public class SlotCounterLincheckTest {
    private static final int LIMIT = 2;

    private final SlotCounter counter = new SlotCounter();

    @Operation
    public boolean tryAcquire() {
        return counter.tryAcquire(LIMIT);
    }

    @Operation
    public int used() {
        return counter.used();
    }

    @Operation
    public void release() {
        counter.release();
    }

    @Test
    void isLinearizableUnderModelChecking() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(3)
                .check(getClass());
    }

    @Test
    void isLinearizableUnderStress() {
        new StressOptions()
                .iterations(10)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(3)
                .check(getClass());
    }
}
