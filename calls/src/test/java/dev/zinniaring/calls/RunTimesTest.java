package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunTimesTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RunTimes times = new RunTimes();

    private long meanMillis() {
        return times.meanNanos("r", 0) / NANOS_PER_MILLI;
    }

    /**
     * Guards against a server that fails part of its calls immediately being taken for fast: its
     * queue then accepted three seconds of work for calls with a limit of two seconds.
     */
    @Test
    void fastFailuresDoNotReduceTheMeanRunTime() {
        times.completed("r", 460 * NANOS_PER_MILLI, 200);
        for (int i = 0; i < 50; i++) {
            times.completed("r", 2 * NANOS_PER_MILLI, 500);
        }
        assertThat(meanMillis()).isEqualTo(460);
    }

    /**
     * Calls to a server that has become slow are cancelled before they end; if these runs were not
     * counted, the server would still be taken for fast.
     */
    @Test
    void abandonedRunsIncreaseTheMeanRunTime() {
        times.completed("r", 100 * NANOS_PER_MILLI, 200);
        times.abandoned("r", 10 * NANOS_PER_MILLI);
        assertThat(meanMillis()).isEqualTo(100);
        for (int i = 0; i < 50; i++) {
            times.abandoned("r", 800 * NANOS_PER_MILLI);
        }
        assertThat(meanMillis()).isGreaterThan(700);
    }

    @Test
    void anUnknownRouteReturnsTheFallback() {
        assertThat(times.meanNanos("new", 7)).isEqualTo(7);
    }
}
