package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.RateLimit;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays the load that {@link WaitLimits} answers: accounts ask one server for more than it can do,
 * lookups with a short target and charges with a longer one.
 */
class FairAdmissionLoadTest {
    private static final int SLOTS = 6;
    private static final double LOOKUPS_FRACTION = 0.72;
    private static final int SECONDS = 60;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long DEADLINE_MILLIS = 2_000;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom random = new SplittableRandom(7);
    private final ServerAdmission<Call> admission =
            new ServerAdmission<>(clock, new RateLimit(clock));
    private final List<Call> running = new ArrayList<>();
    private final Map<String, Integer> asked = new HashMap<>();
    private final Map<String, Integer> servedInTarget = new HashMap<>();

    private final class Call implements AdmissibleCall {
        private final boolean lookup = random.nextDouble() < LOOKUPS_FRACTION;
        private final int rank = random.nextInt(3);
        private final long arrivedNanos = clock.nanos();
        private final long runNanos =
                (long) ((lookup ? 150 : 200) * (0.4 + 1.2 * random.nextDouble())) * NANOS_PER_MILLI;
        private long expectedNanos;
        private long endNanos;

        @Override
        public int rankOrder() {
            return rank;
        }

        @Override
        public boolean ofAccount() {
            return true;
        }

        @Override
        public String routeName() {
            return lookup ? "lookup" : "charge";
        }

        @Override
        public long routeTargetMillis() {
            return lookup ? 537 : 832;
        }

        @Override
        public long targetNanos() {
            return arrivedNanos + routeTargetMillis() * NANOS_PER_MILLI;
        }

        @Override
        public long deadlineNanos() {
            return arrivedNanos + DEADLINE_MILLIS * NANOS_PER_MILLI;
        }
    }

    private void start(Call call) {
        call.expectedNanos = admission.expectedNanos(call);
        call.endNanos = clock.nanos() + call.runNanos;
        admission.started(call.expectedNanos);
        running.add(call);
    }

    private void endDue() {
        for (Iterator<Call> calls = running.iterator(); calls.hasNext(); ) {
            Call call = calls.next();
            if (call.endNanos <= clock.nanos()) {
                calls.remove();
                admission.ended(call.expectedNanos);
                admission.runTimes().completed(call.routeName(), call.runNanos, 200);
                if (clock.nanos() <= call.targetNanos()) {
                    servedInTarget.merge(call.routeName(), 1, Integer::sum);
                }
            }
        }
        admission.removeExpired();
        for (Call next = admission.next(SLOTS); next != null; next = admission.next(SLOTS)) {
            start(next);
        }
    }

    private void arrive() {
        Call call = new Call();
        asked.merge(call.routeName(), 1, Integer::sum);
        if (admission.offer(call, SLOTS).verdict() == ServerAdmission.Verdict.START) {
            start(call);
        }
    }

    @BeforeEach
    void learnRunTimes() {
        admission.runTimes().record("lookup", 150 * NANOS_PER_MILLI);
        admission.runTimes().record("charge", 200 * NANOS_PER_MILLI);
    }

    private double servedFraction(String route) {
        return servedInTarget.getOrDefault(route, 0) / (double) asked.getOrDefault(route, 1);
    }

    /** Neither kind of call may be sacrificed to the other, and no slot may be wasted. */
    @ParameterizedTest
    @ValueSource(doubles = {1.2, 1.6, 2.2})
    void underOverloadBothRoutesAreServedAlikeAndTheServerIsBusy(double load) {
        double perMilli = load * SLOTS / (LOOKUPS_FRACTION * 150 + (1 - LOOKUPS_FRACTION) * 200);
        for (int milli = 0; milli < SECONDS * 1_000; milli++) {
            if (random.nextDouble() < perMilli) {
                arrive();
            }
            clock.advance(Duration.ofMillis(1));
            endDue();
        }
        assertThat(servedFraction("lookup")).isGreaterThan(servedFraction("charge") - 0.05);
        double inTarget = servedInTarget.values().stream().mapToInt(Integer::intValue).sum();
        double possible = perMilli / load * SECONDS * 1_000;
        assertThat(inTarget).isGreaterThan(0.9 * possible);
    }
}
