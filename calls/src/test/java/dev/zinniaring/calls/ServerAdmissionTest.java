package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.RateLimit;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests the order of the calls of accounts and of other servers at one server. */
class ServerAdmissionTest {
    private static final int SLOTS = 6;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final ServerAdmission<Call> admission =
            new ServerAdmission<>(clock, new RateLimit(clock));

    private record Call(String routeName, int rankOrder, boolean ofAccount, long targetMillis)
            implements AdmissibleCall {
        @Override
        public long routeTargetMillis() {
            return targetMillis;
        }

        @Override
        public long targetNanos() {
            return targetMillis * NANOS_PER_MILLI;
        }

        @Override
        public long deadlineNanos() {
            return 3 * targetMillis * NANOS_PER_MILLI;
        }
    }

    private static Call upload(int accountRank) {
        return new Call("upload", accountRank, true, 1_500);
    }

    private static Call lookup() {
        return new Call("lookup", 3, false, 200);
    }

    private ServerAdmission.Verdict offer(Call call) {
        ServerAdmission.Verdict verdict = admission.offer(call, SLOTS).verdict();
        if (verdict == ServerAdmission.Verdict.START) {
            admission.started(admission.expectedNanos(call));
        }
        return verdict;
    }

    /** A server that waits for a lookup holds a slot, whatever the ranks of the accounts are. */
    @Test
    void callsOfOtherServersGoBeforeThoseOfAccountsOfAnyRank() {
        admission.runTimes().record("upload", 180 * NANOS_PER_MILLI);
        admission.runTimes().record("lookup", 40 * NANOS_PER_MILLI);
        while (offer(upload(0)) == ServerAdmission.Verdict.START) {
            // Fills the slots; the last upload waits.
        }
        assertThat(offer(lookup())).isNotEqualTo(ServerAdmission.Verdict.FULL);
        admission.ended(admission.expectedNanos(upload(0)));
        assertThat(admission.next(SLOTS).routeName()).isEqualTo("lookup");
    }

    /** Ranks of accounts must not take slots away from all but the most urgent of them. */
    @Test
    void ranksOfAccountsReserveNoSlots() {
        for (int rank = 0; rank < SLOTS; rank++) {
            assertThat(offer(upload(SLOTS - rank))).isEqualTo(ServerAdmission.Verdict.START);
        }
    }
}
