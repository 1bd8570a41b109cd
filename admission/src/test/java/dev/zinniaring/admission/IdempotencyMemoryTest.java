package dev.zinniaring.admission;

import static dev.zinniaring.admission.KeyAnswer.State.DONE;
import static dev.zinniaring.admission.KeyAnswer.State.FULL;
import static dev.zinniaring.admission.KeyAnswer.State.MISMATCH;
import static dev.zinniaring.admission.KeyAnswer.State.NEW;
import static dev.zinniaring.admission.KeyAnswer.State.RUNNING;
import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a call that runs twice with one idempotency key, and against stored keys and
 * answers that exceed their bounds.
 */
class IdempotencyMemoryTest {
    private static final Duration TTL = Duration.ofMinutes(10);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final IdempotencyMemory memory =
            IdempotencyMemory.builder()
                    .clock(clock)
                    .maxEntries(3)
                    .maxAnswerBytes(100)
                    .maxOneAnswerBytes(60)
                    .build();

    @BeforeEach
    void advancePastTheTtlSinceTheStart() {
        clock.advance(TTL);
    }

    @ParameterizedTest
    @CsvSource({
        "none, RUNNING",
        "completed, DONE",
        "unknown, UNKNOWN",
        "notRun, NEW",
    })
    void theSecondCallOfAKeyReturnsHowTheFirstEnded(String end, KeyAnswer.State expected) {
        end("k", begin("k", 1, false).run(), end);
        assertThat(begin("k", 1, true).state()).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"none", "completed", "unknown"})
    void aKeyOfAnotherRequestIsAMismatch(String end) {
        end("k", begin("k", 1, false).run(), end);
        assertThat(begin("k", 2, true).state()).isEqualTo(MISMATCH);
    }

    @Test
    void aLateReportOfAnEarlierRunDoesNotEndTheNextOne() {
        long first = begin("k", 1, false).run();
        memory.notRun("k", first);
        begin("k", 1, true);
        memory.notRun("k", first);
        memory.completed("k", first, Optional.empty());
        assertThat(begin("k", 1, true).state()).isEqualTo(RUNNING);
    }

    @ParameterizedTest(name = "home for {0} s, node started {1} s ago, resend {2}: {3}")
    @CsvSource({
        "600, 600, true, NEW",
        "599, 600, true, UNKNOWN",
        "600, 599, true, UNKNOWN",
        "0, 0, false, NEW"
    })
    void aResentUnknownKeyRunsOnlyIfItCannotHaveBeenUsedBefore(
            int homeSeconds, int lifeSeconds, boolean resend, KeyAnswer.State expected) {
        IdempotencyMemory fresh = IdempotencyMemory.builder().clock(clock).build();
        clock.advance(Duration.ofSeconds(lifeSeconds));
        long homeSince = clock.nanos() - Duration.ofSeconds(homeSeconds).toNanos();
        assertThat(fresh.begin("k", 1, resend, homeSince).state()).isEqualTo(expected);
    }

    @Test
    void aFullMemoryRefusesNewKeysInsteadOfEvictingOldOnes() {
        for (String key : List.of("a", "b", "c")) {
            memory.completed(key, begin(key, 1, false).run(), Optional.empty());
        }
        assertThat(begin("d", 1, false).state()).isEqualTo(FULL);
        assertThat(begin("a", 1, true).state()).isEqualTo(DONE);
        clock.advance(TTL);
        memory.expire();
        assertThat(memory.size()).isZero();
        assertThat(begin("d", 1, false).state()).isEqualTo(NEW);
    }

    @Test
    void answersAreDroppedOldestFirstButTheirKeysAreKept() {
        for (String key : List.of("a", "b", "c")) {
            memory.completed(key, begin(key, 1, false).run(), Optional.of(answer(40)));
        }
        assertThat(memory.answerBytes()).isLessThanOrEqualTo(100);
        assertThat(begin("a", 1, true)).isEqualTo(KeyAnswer.of(DONE));
        assertThat(begin("c", 1, true).answer()).isPresent();
    }

    @Test
    void anAnswerThatIsTooLargeIsNotStored() {
        memory.completed("k", begin("k", 1, false).run(), Optional.of(answer(61)));
        assertThat(begin("k", 1, true)).isEqualTo(KeyAnswer.of(DONE));
    }

    @Test
    void expiredEntriesNoLongerCountTowardsTheSizes() {
        memory.completed("k", begin("k", 1, false).run(), Optional.of(answer(40)));
        clock.advance(TTL);
        memory.expire();
        assertThat(memory.answerBytes()).isZero();
        assertThat(memory.size()).isZero();
    }

    private KeyAnswer begin(String key, long fingerprint, boolean resend) {
        return memory.begin(key, fingerprint, resend, 0);
    }

    private void end(String key, long run, String how) {
        switch (how) {
            case "completed" -> memory.completed(key, run, Optional.of(answer(10)));
            case "unknown" -> memory.unknown(key, run);
            case "notRun" -> memory.notRun(key, run);
            default -> assertThat(how).isEqualTo("none");
        }
    }

    private static StoredAnswer answer(int bytes) {
        return new StoredAnswer(200, Map.of(), new byte[bytes]);
    }
}
