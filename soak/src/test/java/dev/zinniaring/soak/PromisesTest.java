package dev.zinniaring.soak;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.soak.Observations.Call;
import dev.zinniaring.soak.Observations.Disturbance;
import dev.zinniaring.soak.Observations.Leaving;
import dev.zinniaring.soak.Observations.Outcome;
import dev.zinniaring.soak.Observations.Run;
import dev.zinniaring.soak.Observations.Version;
import org.junit.jupiter.api.Test;

/** A check that never fails would let every fault of a run pass. */
class PromisesTest {
    private static final long SENT_MILLIS = 20_000;

    private final Observations seen = new Observations(Clock.system());

    private void call(Route route, int status, Outcome outcome) {
        long deadlineMillis = SENT_MILLIS + Route.DEADLINE_MILLIS;
        seen.add(
                new Call(
                        "c",
                        0,
                        route,
                        SENT_MILLIS,
                        SENT_MILLIS + 100,
                        deadlineMillis,
                        status,
                        "c",
                        outcome));
    }

    private Run run(String serverId, String service, long atMillis) {
        Run run = new Run("c", serverId, service, atMillis);
        seen.add(run);
        return run;
    }

    private void fault(boolean planned) {
        seen.add(new Disturbance("f", planned, 0, SENT_MILLIS - 500, SENT_MILLIS + 500));
    }

    private void oldServiceRunsAfterAChange(long agoMillis) {
        seen.add(new Version(1, "orders", 0));
        seen.add(new Version(2, "shelf", SENT_MILLIS - agoMillis));
        call(Route.MOVING, 200, Outcome.ANSWERED);
        run("s1", "orders", SENT_MILLIS + 1);
    }

    private void workGoesOnAfterCallersLeft(long untilMillis) {
        for (int i = 0; i < 4; i++) {
            call(Route.REPORT, 0, Outcome.CALLER_LEFT);
        }
        run("s1", "shelf", SENT_MILLIS + 1).end(SENT_MILLIS + untilMillis);
    }

    private void assertBroken(String promise) {
        assertThat(Promises.broken(seen)).singleElement().asString().startsWith(promise + ": ");
    }

    private void assertKept() {
        assertThat(Promises.broken(seen)).isEmpty();
    }

    @Test
    void aCallThatRanOnceAndWasAnsweredKeepsEveryPromise() {
        call(Route.ORDER, 200, Outcome.ANSWERED);
        run("s1", "orders", SENT_MILLIS + 1);
        assertKept();
    }

    @Test
    void aCallThatMayRunOnceAndRanTwiceIsFound() {
        call(Route.ORDER, 200, Outcome.ANSWERED);
        run("s1", "orders", SENT_MILLIS + 1);
        run("s2", "orders", SENT_MILLIS + 2);
        assertBroken("TWICE");
    }

    @Test
    void aRefusedCallThatRanIsFound() {
        call(Route.ORDER, 503, Outcome.ANSWERED);
        run("s1", "orders", SENT_MILLIS + 1);
        assertBroken("REFUSED");
    }

    @Test
    void aCallThatRanAtMoreServersThanAllowedIsFound() {
        call(Route.LOOKUP, 200, Outcome.ANSWERED);
        for (String server : new String[] {"s1", "s2", "s3"}) {
            run(server, "shelf", SENT_MILLIS + 1);
        }
        assertBroken("BUDGET");
    }

    @Test
    void aRunThatBeginsAfterTheDeadlineIsFoundUnlessAFaultExplainsIt() {
        call(Route.ORDER, 0, Outcome.DEADLINE);
        run("s1", "orders", SENT_MILLIS + 2_600);
        assertBroken("BUDGET");
        fault(false);
        assertKept();
    }

    @Test
    void aRunAtTheWrongServiceIsFound() {
        call(Route.ORDER, 200, Outcome.ANSWERED);
        run("s1", "shelf", SENT_MILLIS + 1);
        assertBroken("CONFIG");
    }

    @Test
    void aConfigurationThatIsNotInForceInTimeIsFound() {
        oldServiceRunsAfterAChange(2_600);
        assertBroken("CONFIG");
    }

    @Test
    void aConfigurationMayTakeItsTime() {
        oldServiceRunsAfterAChange(2_400);
        assertKept();
    }

    @Test
    void aCallThatPlannedWorkCutsIsFound() {
        fault(true);
        call(Route.LOOKUP, 0, Outcome.CUT);
        run("s1", "shelf", SENT_MILLIS + 1);
        assertBroken("LOST");
    }

    @Test
    void aCallThatIsBrokenOffWithoutAFaultIsFound() {
        call(Route.LOOKUP, 502, Outcome.ANSWERED);
        run("s1", "shelf", SENT_MILLIS + 1);
        assertBroken("LOST");
    }

    /** A killed process cannot answer. */
    @Test
    void aCallThatAFaultCutsIsExcused() {
        fault(false);
        call(Route.LOOKUP, 0, Outcome.CUT);
        run("s1", "shelf", SENT_MILLIS + 1);
        assertKept();
    }

    @Test
    void aCallToAServerThatHasLeftIsFound() {
        seen.add(new Leaving("s1", SENT_MILLIS - 3_000));
        call(Route.LOOKUP, 200, Outcome.ANSWERED);
        run("s1", "shelf", SENT_MILLIS + 1);
        assertBroken("DRAIN");
    }

    @Test
    void workForCallersThatHaveLeftIsFound() {
        workGoesOnAfterCallersLeft(800);
        assertBroken("GONE");
    }

    @Test
    void workThatEndsSoonAfterItsCallerHasLeftIsAllowed() {
        workGoesOnAfterCallersLeft(300);
        assertKept();
    }
}
