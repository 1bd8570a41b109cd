package dev.zinniaring.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** The faults of a run, drawn from its seed: alone, in series and at the same time. */
final class FaultPlan {
    private static final int LEAST_FAULTS = 3;
    private static final int MOST_FAULTS = 9;
    private static final int LEAST_MILLIS = 200;
    private static final int MOST_MILLIS = 5_000;

    /** One in this many faults comes right after the one before, at the same node. */
    private static final int SERIES_SHARE = 4;

    private static final int SERIES_GAP_MILLIS = 400;

    /**
     * One fault of a run.
     *
     * @param target index of a node
     * @param atMillis time from the start of the faults
     */
    record Entry(Fault fault, int target, long atMillis, long durationMillis) {}

    private FaultPlan() {}

    /** Returns faults, by the time at which they begin, that begin within a time. */
    static List<Entry> draw(SplittableRandom random, int nodes, long withinMillis) {
        List<Entry> plan = new ArrayList<>();
        int count = random.nextInt(LEAST_FAULTS, MOST_FAULTS + 1);
        for (int i = 0; i < count; i++) {
            Fault fault = Fault.ALL.get(random.nextInt(Fault.ALL.size()));
            int target = random.nextInt(nodes);
            long atMillis = random.nextLong(withinMillis);
            if (!plan.isEmpty() && random.nextInt(SERIES_SHARE) == 0) {
                Entry before = plan.get(plan.size() - 1);
                target = before.target();
                atMillis = Math.min(withinMillis, before.atMillis() + SERIES_GAP_MILLIS);
            }
            long durationMillis = random.nextInt(LEAST_MILLIS, MOST_MILLIS + 1);
            plan.add(new Entry(fault, target, atMillis, durationMillis));
        }
        plan.sort(Comparator.comparingLong(Entry::atMillis));
        return plan;
    }
}
