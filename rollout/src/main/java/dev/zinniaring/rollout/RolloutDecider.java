package dev.zinniaring.rollout;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Decides the steps of one roll-out from the outcomes of calls. A small share of the calls tries
 * the new version; if it proves no worse, the share rises in steps to all calls, and once the calls
 * at the old servers have ended, the roll-out is complete. At any step, a worse version is taken
 * out at once.
 *
 * <p>It answers versions that fail or are slow from the start, later, on a single route, or only
 * under load. All steps are relative to the time that the order allows. A decider that takes over
 * starts again with the small share.
 */
public final class RolloutDecider {
    /** Part of the allowed exposure of a bad version that the first step uses. */
    private static final double FIRST_STEP_EXPOSURE = 0.7;

    /** Part of the order's time that the first step takes at least, so that late faults show. */
    private static final double MIN_TRIAL = 0.4;

    /** Part of the order's time at which the first step ends for lack of calls. */
    private static final double MAX_TRIAL = 0.6;

    /** Part of the order's time that each further step takes. */
    private static final double STEP = 0.08;

    /** Part of the order's time at which a roll-out whose servers never came is given up. */
    private static final double GIVE_UP = 0.85;

    private static final double[] STEP_SHARES = {0.25, 0.5, 1};

    /** Time for the calls at the old servers to end, which are stopped on completion. */
    private static final Duration DRAIN = Duration.ofMillis(1_500);

    private final RolloutOrder order;
    private final Clock clock;
    private final double trialShare;
    private final long orderedNanos;
    private final SequentialTest overall = new SequentialTest();
    private final Map<String, SequentialTest> byRoute = new HashMap<>();
    private RolloutState state = RolloutState.RUNNING;
    private String reason = "ordered";
    private boolean targetCalled;
    private int step = -1;
    private long stepNanos;

    /**
     * Creates a decider of an order that has just arrived.
     *
     * @param exposureShare largest fraction of the service's calls that a bad version may get
     */
    public RolloutDecider(RolloutOrder order, double exposureShare, Clock clock) {
        this.order = order;
        this.clock = clock;
        this.trialShare = FIRST_STEP_EXPOSURE * exposureShare;
        this.orderedNanos = clock.nanos();
        this.stepNanos = orderedNanos;
    }

    /** Returns the order. */
    public RolloutOrder order() {
        return order;
    }

    /** Adds the outcomes of calls, by route. */
    public void observe(Map<String, VersionOutcomes> outcomes) {
        VersionOutcomes sum = VersionOutcomes.NONE;
        for (Map.Entry<String, VersionOutcomes> route : outcomes.entrySet()) {
            byRoute.computeIfAbsent(route.getKey(), name -> new SequentialTest())
                    .add(route.getValue());
            sum = sum.plus(route.getValue());
        }
        overall.add(sum);
        if (sum.targetCalls() > 0 && !targetCalled) {
            targetCalled = true;
            stepNanos = clock.nanos();
        }
    }

    /** Takes the step that is due, and returns how calls are to be divided. */
    public VersionSplit decide() {
        if (state == RolloutState.RUNNING) {
            long nowNanos = clock.nanos();
            if (overall.bad() || byRoute.values().stream().anyMatch(SequentialTest::bad)) {
                end(RolloutState.ROLLED_BACK, "worse");
            } else if (!targetCalled) {
                if (elapsed(orderedNanos, nowNanos) > GIVE_UP) {
                    end(RolloutState.ROLLED_BACK, "no-calls");
                }
            } else if (step < 0) {
                decideTrial(nowNanos);
            } else if (step < STEP_SHARES.length - 1) {
                if (elapsed(stepNanos, nowNanos) >= STEP) {
                    enter(step + 1, nowNanos);
                }
            } else if (nowNanos - stepNanos >= DRAIN.toNanos()) {
                end(RolloutState.COMPLETED, "no-worse");
            }
        }
        return new VersionSplit(order.target(), share(), state);
    }

    private void decideTrial(long nowNanos) {
        boolean overdue = elapsed(orderedNanos, nowNanos) >= MAX_TRIAL;
        boolean observed = elapsed(stepNanos, nowNanos) >= MIN_TRIAL;
        boolean routesLeanGood = byRoute.values().stream().noneMatch(SequentialTest::leansBad);
        boolean doubtful =
                overall.leansBad() || byRoute.values().stream().anyMatch(SequentialTest::doubtful);
        if (overdue && doubtful) {
            end(RolloutState.ROLLED_BACK, "doubtful");
        } else if (overdue || (observed && overall.good() && routesLeanGood)) {
            enter(0, nowNanos);
        }
    }

    /** Returns a time as a fraction of the time that the order allows. */
    private double elapsed(long sinceNanos, long nowNanos) {
        return (nowNanos - sinceNanos) / (double) order.duration().toNanos();
    }

    private void enter(int nextStep, long nowNanos) {
        step = nextStep;
        stepNanos = nowNanos;
    }

    private void end(RolloutState ended, String why) {
        state = ended;
        reason = why;
    }

    private double share() {
        return switch (state) {
            case COMPLETED -> 1;
            case ROLLED_BACK -> 0;
            default -> step < 0 ? trialShare : STEP_SHARES[step];
        };
    }

    /** Returns why the roll-out is in its state, with the evidence, for the log. */
    public String explanation() {
        StringBuilder text = new StringBuilder(reason);
        text.append(String.format(Locale.ROOT, " all=%.1f", overall.evidence()));
        byRoute.forEach(
                (route, test) ->
                        text.append(
                                String.format(Locale.ROOT, " %s=%.1f", route, test.evidence())));
        return text.toString();
    }
}
