package dev.zinniaring.soak;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.soak.Observations.ReceivedAnswer;
import dev.zinniaring.soak.Observations.SentAnswer;
import org.junit.jupiter.api.Test;

/** Guards against a check that never fails, which would hide every wrong answer in a run. */
class MixedCheckerTest {
    private final Observations observations = new Observations(Clock.system());

    private void sent(String run, String send, AnswerKind kind, int status) {
        observations.add(new SentAnswer(run, send, kind, status, run + " body"));
    }

    private void received(int status, String tag, String body) {
        observations.add(new ReceivedAnswer("c#2", "c", status, tag, "c", body));
    }

    private void assertWrong(String kind) {
        assertThat(InvariantChecker.violations(observations))
                .singleElement()
                .asString()
                .startsWith("MIXED " + kind + ": c#2 ");
    }

    @Test
    void theWholeAnswerOfTheRunOfTheSendIsRight() {
        sent("r1", "c#2", AnswerKind.COPY_LATE, 200);
        received(200, "r1.200", "r1 body");
        assertThat(InvariantChecker.violations(observations)).isEmpty();
    }

    @Test
    void aFailureOfANodeIsRight() {
        sent("r1", "c#2", AnswerKind.CUT_BODY, 200);
        received(502, "", "");
        assertThat(InvariantChecker.violations(observations)).isEmpty();
    }

    @Test
    void theAnswerToAnEarlierSendOfTheSameCallIsReported() {
        sent("r1", "c#1", AnswerKind.COPY_LATE, 200);
        sent("r2", "c#2", AnswerKind.PLAIN, 500);
        received(200, "r1.200", "r1 body");
        assertWrong("copy-late");
    }

    @Test
    void aFailureWithTheTagOfAnotherCallIsReported() {
        sent("r1", "d#1", AnswerKind.COPY_WITHOUT_ID, 500);
        received(500, "r1.500", "r1 body");
        assertWrong("copy-without-id");
    }

    @Test
    void aSecondAnswerOfAnotherStatusIsReported() {
        sent("r1", "c#2", AnswerKind.OTHER_STATUS, 500);
        received(200, "r1.200", "r1 body");
        assertWrong("other-status");
    }

    @Test
    void anotherStatusThanThatOfTheServerIsReported() {
        sent("r1", "c#2", AnswerKind.PLAIN, 500);
        received(502, "r1.500", "r1 body");
        assertWrong("plain");
    }

    @Test
    void aBodyThatIsNotWholeIsReported() {
        sent("r1", "c#2", AnswerKind.CUT_BODY, 200);
        received(200, "r1.200", "r1 bo");
        assertWrong("cut-body");
    }

    @Test
    void aSuccessThatNoServerSentIsReported() {
        received(200, "", "");
        assertWrong("untagged");
    }

    @Test
    void aSuccessFromBytesThatAreNoAnswerIsReported() {
        sent("r1", "c#2", AnswerKind.CONTROL_BYTES_BEFORE, 200);
        received(200, "r1.200", "r1 body");
        assertWrong("control-bytes-before");
    }

    @Test
    void anAnswerThatNamesAnotherCallIsReported() {
        sent("r1", "c#2", AnswerKind.PLAIN, 200);
        observations.add(new ReceivedAnswer("c#2", "c", 200, "r1.200", "d", "r1 body"));
        assertWrong("plain");
    }
}
