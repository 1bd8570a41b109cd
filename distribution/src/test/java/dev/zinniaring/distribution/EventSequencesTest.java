package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.fail;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against three failures: a version that goes back to a lower number on a node, also across
 * restarts; an active version that was never accepted; and nodes that do not converge after
 * failures.
 *
 * <p>To repeat a failed sequence: {@code mvn -B -ntp -o -pl distribution -am test
 * -Dtest=EventSequencesTest -Dsurefire.failIfNoSpecifiedTests=false -Dzinniaring.seed=SEED}.
 */
class EventSequencesTest {
    private static final int DEFAULT_SEQUENCES = 1_000;
    private static final int MAX_REPORTED = 5;

    @Test
    void versionsNeverGoBackAndAllNodesConvergeAfterRandomEvents() {
        Long single = Long.getLong("zinniaring.seed");
        int count = Integer.getInteger("zinniaring.sequences", DEFAULT_SEQUENCES);
        LongStream seeds =
                single == null ? LongStream.rangeClosed(1, count) : LongStream.of(single);
        Map<Long, String> failures = new TreeMap<>();
        seeds.parallel().forEach(seed -> runOne(seed, failures));
        if (!failures.isEmpty()) {
            List<String> reported = failures.values().stream().limit(MAX_REPORTED).toList();
            fail("%d sequences failed, seeds %s%n%s", failures.size(), failures.keySet(), reported);
        }
    }

    private static void runOne(long seed, Map<Long, String> failures) {
        try {
            new EventSequence(seed).run();
        } catch (AssertionError e) {
            synchronized (failures) {
                failures.put(
                        seed,
                        "zinniaring.seed=" + seed + ": " + e.getCause() + " " + e.getMessage());
            }
        }
    }
}
