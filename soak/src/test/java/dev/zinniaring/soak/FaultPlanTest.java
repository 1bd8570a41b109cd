package dev.zinniaring.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FaultPlanTest {
    private static List<FaultPlan.Entry> draw(long seed) {
        return FaultPlan.draw(new SplittableRandom(seed), 6, 15_000);
    }

    /** A failing run must be reproducible from its seed. */
    @Test
    void theSameSeedDrawsTheSameFaults() {
        assertThat(draw(5)).isEqualTo(draw(5)).isNotEqualTo(draw(6));
    }

    /** Guards against a kind of fault that runs hardly ever inject. */
    @Test
    void fiftySeedsDrawEveryKindOfFault() {
        Set<String> names = new HashSet<>();
        for (long seed = 1; seed <= 50; seed++) {
            draw(seed).forEach(entry -> names.add(entry.fault().name()));
        }
        assertThat(names).hasSameSizeAs(Fault.ALL);
    }
}
