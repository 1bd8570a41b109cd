package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class WeightedTurnsTest {
    /** Random choice would miss the shares by several hundredths over some hundred calls. */
    @Test
    void aHundredCallsAreDividedExactlyByWeight() {
        WeightedTurns turns = WeightedTurns.of(Map.of("a", 90, "b", 10, "c", 0));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            counts.merge(turns.next(), 1, Integer::sum);
        }
        assertThat(counts).containsExactlyInAnyOrderEntriesOf(Map.of("a", 90, "b", 10));
    }
}
