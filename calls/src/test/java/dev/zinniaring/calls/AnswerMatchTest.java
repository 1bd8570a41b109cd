package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AnswerMatchTest {
    private static AnswerMatch onUsedConnection(String echoedId, int status) {
        return AnswerMatch.of("c2", echoedId, status, false);
    }

    private static AnswerMatch onNewConnection(String expectedId, String echoedId, int status) {
        return AnswerMatch.of(expectedId, echoedId, status, true);
    }

    @Test
    void anAnswerThatNamesTheRequestIsItsOwn() {
        assertThat(onUsedConnection("c2", 200)).isEqualTo(AnswerMatch.OWN);
        assertThat(onUsedConnection("c2", 503)).isEqualTo(AnswerMatch.OWN);
    }

    @Test
    void anAnswerThatNamesAnotherRequestIsSkipped() {
        assertThat(onUsedConnection("c1", 200)).isEqualTo(AnswerMatch.FOREIGN);
        assertThat(onUsedConnection("c1", 500)).isEqualTo(AnswerMatch.FOREIGN);
        assertThat(onNewConnection(null, "c1", 400)).isEqualTo(AnswerMatch.FOREIGN);
    }

    @Test
    void aSuccessThatNamesNoRequestIsNeverTakenForACallWithAnId() {
        assertThat(onUsedConnection(null, 200)).isEqualTo(AnswerMatch.FOREIGN);
        assertThat(onNewConnection("c2", null, 200)).isEqualTo(AnswerMatch.AMBIGUOUS);
    }

    @Test
    void aFailureThatNamesNoRequestIsTakenOnlyIfNoEarlierRequestCanHaveCausedIt() {
        assertThat(onNewConnection("c2", null, 503)).isEqualTo(AnswerMatch.OWN);
        assertThat(onUsedConnection(null, 503)).isEqualTo(AnswerMatch.AMBIGUOUS);
    }

    @Test
    void aRequestWithoutAnIdIsAnsweredOnAConnectionOfItsOwn() {
        assertThat(onNewConnection(null, null, 200)).isEqualTo(AnswerMatch.OWN);
    }
}
