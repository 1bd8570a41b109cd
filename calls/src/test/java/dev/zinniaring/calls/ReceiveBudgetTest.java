package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the bound on the memory for incomplete answers. */
class ReceiveBudgetTest {
    private static final int PIECE_BYTES = 8 * 1024;

    private final ReceiveBudget budget = new ReceiveBudget();

    private final class Receiving implements ReceiveBudget.Holder {
        private boolean givenUp;

        /** Receives a number of bytes in pieces, as long as the answer is not given up. */
        void receive(long bytes) {
            for (long received = 0; received < bytes && !givenUp; received += PIECE_BYTES) {
                budget.add(this, PIECE_BYTES);
            }
        }

        @Override
        public void giveUp() {
            givenUp = true;
            budget.release(this);
        }
    }

    @Test
    void anAnswerAboveTheLimitIsGivenUp() {
        Receiving endless = new Receiving();
        endless.receive(2L * ReceiveBudget.MAX_ANSWER_BYTES);
        assertThat(endless.givenUp).isTrue();
        assertThat(budget.totalBytes()).isZero();
    }

    /** Several senders that do not end must not cost a call beside them its answer. */
    @Test
    void theLargestAnswerIsGivenUpWhenAllTogetherTakeTooMuch() {
        Receiving small = new Receiving();
        small.receive(PIECE_BYTES);
        Receiving first = new Receiving();
        first.receive(ReceiveBudget.MAX_ANSWER_BYTES - PIECE_BYTES);
        Receiving second = new Receiving();
        second.receive(ReceiveBudget.MAX_ANSWER_BYTES - PIECE_BYTES);
        assertThat(first.givenUp).isTrue();
        assertThat(second.givenUp).isFalse();
        small.receive(PIECE_BYTES);
        assertThat(small.givenUp).isFalse();
        assertThat(budget.totalBytes()).isLessThanOrEqualTo(ReceiveBudget.MAX_TOTAL_BYTES);
    }

    @Test
    void aCompleteAnswerReleasesItsMemory() {
        Receiving answer = new Receiving();
        answer.receive(PIECE_BYTES);
        budget.release(answer);
        budget.release(answer);
        assertThat(budget.totalBytes()).isZero();
    }
}
