package dev.zinniaring.rollout;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleBiFunction;

/** Plays the calls of a service under a roll-out, whose servers come a while after the order. */
final class RolloutPlay {
    static final Duration TIME = Duration.ofSeconds(15);
    static final double EXPOSURE_SHARE = 0.1;

    private static final Duration STEP = Duration.ofMillis(250);
    private static final Duration TARGET_STARTS = Duration.ofMillis(2_500);
    private static final String[] ROUTES = {"lookup", "lookup", "lookup", "charge"};

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom random;
    private final RolloutDecider decider =
            new RolloutDecider(new RolloutOrder("s", "v2", TIME), EXPOSURE_SHARE, clock);
    private final double callsPerSecond;
    int calls;
    int targetCalls;
    int badCalls;
    Duration endedAfter = Duration.ZERO;
    RolloutState state = RolloutState.RUNNING;

    RolloutPlay(double callsPerSecond, long seed) {
        this.callsPerSecond = callsPerSecond;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Plays until the roll-out ends or its time is over.
     *
     * @param targetBad rate of bad answers of the new version, by route and time since its start
     * @param otherBad rate of bad answers of the others, in the same way
     */
    RolloutPlay run(
            ToDoubleBiFunction<String, Duration> targetBad,
            ToDoubleBiFunction<String, Duration> otherBad) {
        Duration elapsed = Duration.ZERO;
        VersionSplit split = decider.decide();
        while (elapsed.compareTo(TIME) < 0) {
            Map<String, VersionOutcomes> outcomes = new HashMap<>();
            boolean targetThere = elapsed.compareTo(TARGET_STARTS) >= 0;
            int arrivals = (int) (callsPerSecond * STEP.toMillis() / 1_000);
            for (int i = 0; i < arrivals; i++) {
                String route = ROUTES[random.nextInt(ROUTES.length)];
                boolean target = targetThere && random.nextDouble() < split.share();
                double rate =
                        target
                                ? targetBad.applyAsDouble(route, elapsed.minus(TARGET_STARTS))
                                : otherBad.applyAsDouble(route, elapsed);
                count(outcomes, route, target, random.nextDouble() < rate ? 1 : 0);
            }
            clock.advance(STEP);
            elapsed = elapsed.plus(STEP);
            decider.observe(outcomes);
            split = decider.decide();
            if (split.state() != state) {
                state = split.state();
                endedAfter = elapsed;
            }
        }
        return this;
    }

    private void count(
            Map<String, VersionOutcomes> outcomes, String route, boolean target, int bad) {
        calls++;
        targetCalls += target ? 1 : 0;
        badCalls += target ? bad : 0;
        outcomes.merge(
                route,
                target ? new VersionOutcomes(1, bad, 0, 0) : new VersionOutcomes(0, 0, 1, bad),
                VersionOutcomes::plus);
    }
}
