package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class WeightedRoundRobinTest {
    /** Random selection would miss the weights by several percent over a few hundred calls. */
    @Test
    void aHundredCallsAreDistributedExactlyByWeight() {
        WeightedRoundRobin roundRobin = WeightedRoundRobin.of(Map.of("a", 90, "b", 10, "c", 0));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            counts.merge(roundRobin.next(), 1, Integer::sum);
        }
        assertThat(counts).containsExactlyInAnyOrderEntriesOf(Map.of("a", 90, "b", 10));
    }
}
