package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CutCallsTest {
    /** A stop that cuts many calls at once must not fill the log. */
    @Test
    void atMostFiftyIdsAreNamed() {
        List<String> ids = IntStream.range(0, 60).mapToObj(i -> "c" + i).toList();
        assertThat(CutCalls.text(ids)).startsWith("count=60 calls=c0,c1,").endsWith(",c49");
    }
}
