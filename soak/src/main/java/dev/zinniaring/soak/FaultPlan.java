package dev.zinniaring.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the faults of a run from its seed; faults can be isolated, consecutive or overlapping. */
final class FaultPlan {
    private static final int MIN_FAULTS = 3;
    private static final int MAX_FAULTS = 9;
    private static final int MAX_ADDED_FAULTS = 4;
    private static final int MIN_DURATION_MILLIS = 200;
    private static final int MAX_DURATION_MILLIS = 5_000;

    /** Longer than the time after which a limit of a server binds. */
    private static final int MAX_ADDED_DURATION_MILLIS = 12_000;

    /** One in this many faults begins shortly after the previous one, at the same node. */
    private static final int CONSECUTIVE_ONE_IN = 4;

    private static final int CONSECUTIVE_GAP_MILLIS = 400;

    /**
     * A scheduled fault.
     *
     * @param target index of the affected node
     * @param atMillis time from the start of fault injection to the start of this fault
     */
    record Entry(Fault fault, int target, long atMillis, long durationMillis) {}

    private FaultPlan() {}

    /** Returns the faults, ordered by start time, all of which start within the given time. */
    static List<Entry> draw(SplittableRandom random, int nodes, long withinMillis) {
        int count = random.nextInt(MIN_FAULTS, MAX_FAULTS + 1);
        return draw(Fault.ALL, count, MAX_DURATION_MILLIS, random, nodes, withinMillis);
    }

    /** Returns one to four faults of the added kinds, as {@link #draw} does. */
    static List<Entry> drawAdded(SplittableRandom random, int nodes, long withinMillis) {
        int count = random.nextInt(1, MAX_ADDED_FAULTS + 1);
        return draw(Fault.ADDED, count, MAX_ADDED_DURATION_MILLIS, random, nodes, withinMillis);
    }

    /** Returns one to four faults of the odd kinds, as {@link #draw} does. */
    static List<Entry> drawOdd(SplittableRandom random, int nodes, long withinMillis) {
        int count = random.nextInt(1, MAX_ADDED_FAULTS + 1);
        return draw(Fault.ODD, count, MAX_ADDED_DURATION_MILLIS, random, nodes, withinMillis);
    }

    /** Returns one to four faults of nodes of servers that stutter, as {@link #draw} does. */
    static List<Entry> drawStutter(SplittableRandom random, int nodes, long withinMillis) {
        int count = random.nextInt(1, MAX_ADDED_FAULTS + 1);
        return draw(Fault.STUTTER, count, MAX_DURATION_MILLIS, random, nodes, withinMillis);
    }

    private static List<Entry> draw(
            List<Fault> kinds,
            int count,
            int maxDurationMillis,
            SplittableRandom random,
            int nodes,
            long withinMillis) {
        List<Entry> plan = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Fault fault = kinds.get(random.nextInt(kinds.size()));
            int target = random.nextInt(nodes);
            long atMillis = random.nextLong(withinMillis);
            if (!plan.isEmpty() && random.nextInt(CONSECUTIVE_ONE_IN) == 0) {
                Entry previous = plan.get(plan.size() - 1);
                target = previous.target();
                atMillis = Math.min(withinMillis, previous.atMillis() + CONSECUTIVE_GAP_MILLIS);
            }
            long durationMillis = random.nextInt(MIN_DURATION_MILLIS, maxDurationMillis + 1);
            plan.add(new Entry(fault, target, atMillis, durationMillis));
        }
        plan.sort(Comparator.comparingLong(Entry::atMillis));
        return plan;
    }
}
