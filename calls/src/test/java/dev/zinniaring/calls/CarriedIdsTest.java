package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CarriedIdsTest {
    @Test
    void theLatestIdsAreRememberedAndTheOldestForgotten() {
        CarriedIds ids = new CarriedIds();
        for (int i = 0; i < 3 * CarriedIds.MAX_IDS; i++) {
            assertThat(ids.contains("c" + i)).isFalse();
            ids.add("c" + i);
            for (int back = 0; back < Math.min(i + 1, CarriedIds.MAX_IDS); back += 37) {
                assertThat(ids.contains("c" + (i - back))).as("%d back of %d", back, i).isTrue();
            }
        }
        assertThat(ids.contains("c0")).isFalse();
    }
}
