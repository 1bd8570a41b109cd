package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAfterTest {
    /** Callers do not honor a Retry-After above a third of the time that they have left. */
    @ParameterizedTest
    @CsvSource({"300, 800, 90", "250, 500, 63", "2000, 2500, 360", "-50, 300, 90", "10, 20, 90"})
    void retryAfterIsAtMostAThirdOfTheTimeLeft(double target, double left, double run) {
        SplittableRandom random = new SplittableRandom(1);
        IntStream.range(0, 100)
                .mapToDouble(
                        i -> Double.parseDouble(RetryAfter.seconds(target, left, run, 0, random)))
                .forEach(seconds -> assertThat(seconds).isBetween(0.0, left / 3 / 1000));
    }
}
