package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunTimesTest {
    private static final long MILLI = 1_000_000L;

    private final RunTimes times = new RunTimes();

    private long meanMillis() {
        return times.meanNanos("r", 0) / MILLI;
    }

    /**
     * A server that failed part of its calls at once seemed fast, so that its queue took calls for
     * three seconds whose limit was two.
     */
    @Test
    void quickFailuresDoNotShortenTheExpectedTime() {
        times.ran("r", 460 * MILLI, 200);
        for (int i = 0; i < 50; i++) {
            times.ran("r", 2 * MILLI, 500);
        }
        assertThat(meanMillis()).isEqualTo(460);
    }

    /** A server that has become slow is given up on before it answers, and would seem fast. */
    @Test
    void runsThatAreGivenUpLengthenTheExpectedTime() {
        times.ran("r", 100 * MILLI, 200);
        times.abandoned("r", 10 * MILLI);
        assertThat(meanMillis()).isEqualTo(100);
        for (int i = 0; i < 50; i++) {
            times.abandoned("r", 800 * MILLI);
        }
        assertThat(meanMillis()).isGreaterThan(700);
    }

    @Test
    void aRouteThatHasNotRunHasTheGivenTime() {
        assertThat(times.meanNanos("new", 7)).isEqualTo(7);
    }
}
