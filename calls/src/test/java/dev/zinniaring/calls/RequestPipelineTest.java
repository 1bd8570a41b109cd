package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which pipelined requests run together and in which order their answers are sent. */
class RequestPipelineTest {
    private final RequestPipeline<Integer, Integer> pipeline = new RequestPipeline<>();
    private final List<RequestPipeline.Entry<Integer, Integer>> started = new ArrayList<>();

    private void add(int number, boolean repeatable) {
        pipeline.add(number, repeatable, false, 0);
    }

    private List<Integer> startAll() {
        List<Integer> numbers = new ArrayList<>();
        for (var entry = pipeline.start(); entry != null; entry = pipeline.start()) {
            started.add(entry);
            numbers.add(entry.request());
        }
        return numbers;
    }

    private void answer(int number) {
        started.stream()
                .filter(entry -> entry.request() == number)
                .forEach(entry -> pipeline.answered(entry, number));
    }

    private List<Integer> sent(boolean draining) {
        List<Integer> numbers = new ArrayList<>();
        for (var turn = pipeline.next(draining); turn != null; turn = pipeline.next(draining)) {
            numbers.add(turn.close() ? -turn.answer() : turn.answer());
        }
        return numbers;
    }

    /** A short request must not wait for the run time of a long one before it. */
    @Test
    void repeatableRequestsRunTogetherAndAreAnsweredInOrder() {
        add(1, true);
        add(2, true);
        assertThat(startAll()).containsExactly(1, 2);
        answer(2);
        assertThat(sent(false)).isEmpty();
        answer(1);
        assertThat(sent(false)).containsExactly(1, 2);
    }

    /**
     * The client sends requests behind a closing answer again; one that may run only once must not
     * have been started by then.
     */
    @Test
    void aRequestThatMayRunOnceStartsOnlyWhenThoseBeforeItAreAnswered() {
        add(1, true);
        add(2, false);
        add(3, true);
        assertThat(startAll()).containsExactly(1);
        answer(1);
        assertThat(sent(false)).containsExactly(1);
        assertThat(startAll()).containsExactly(2, 3);
    }

    /** A request that was passed on must get its answer before the connection closes. */
    @Test
    void aDrainingConnectionClosesAfterTheLastStartedRequest() {
        add(1, true);
        add(2, true);
        startAll();
        answer(1);
        assertThat(sent(true)).containsExactly(1);
        answer(2);
        assertThat(sent(true)).containsExactly(-2);
    }

    @Test
    void aDrainingConnectionDropsRequestsThatHaveNotStarted() {
        add(1, true);
        add(2, false);
        startAll();
        answer(1);
        assertThat(sent(true)).containsExactly(-1);
        assertThat(startAll()).isEmpty();
    }

    @Test
    void aRejectedRequestIsAnsweredAfterThoseBeforeIt() {
        add(1, true);
        startAll();
        pipeline.addRejected(2, 2);
        assertThat(sent(false)).isEmpty();
        answer(1);
        assertThat(sent(false)).containsExactly(1, -2);
    }

    /** A client that leaves takes the requests that run with it, and no others. */
    @Test
    void cancelReturnsTheRequestsThatAreRunning() {
        add(1, true);
        add(2, true);
        add(3, false);
        startAll();
        answer(2);
        assertThat(pipeline.cancel()).containsExactly(1);
        assertThat(startAll()).isEmpty();
    }

    @Test
    void aConnectionWithManyUnansweredRequestsIsFull() {
        for (int i = 0; i < RequestPipeline.MAX_READ; i++) {
            assertThat(pipeline.full()).isFalse();
            add(i, true);
        }
        assertThat(pipeline.full()).isTrue();
        assertThat(startAll()).hasSize(RequestPipeline.MAX_RUNNING);
        RequestPipeline<Integer, Integer> other = new RequestPipeline<>();
        other.add(1, true, false, (int) RequestPipeline.MAX_READ_BYTES + 1);
        assertThat(other.full()).isTrue();
    }

    /** Adds, starts and answers requests in random order, with a drain at a random time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void answersGoOutInOrderAndNoStartedRequestIsLeftBehind(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Integer> sent = new ArrayList<>();
        List<Integer> running = new ArrayList<>();
        List<Boolean> repeatable = new ArrayList<>();
        boolean draining = false;
        boolean closed = false;
        for (int step = 0; step < 400 && !closed; step++) {
            draining = draining || (step > 200 && random.nextInt(20) == 0);
            if (random.nextBoolean()) {
                repeatable.add(random.nextInt(4) > 0);
                add(repeatable.size(), repeatable.get(repeatable.size() - 1));
            } else if (!running.isEmpty()) {
                answer(running.remove(random.nextInt(running.size())));
            }
            for (int number : startAll()) {
                running.add(number);
                assertThat(repeatable.get(number - 1) || sent.size() == number - 1).isTrue();
            }
            for (int number : sent(draining)) {
                sent.add(Math.abs(number));
                closed = number < 0;
            }
        }
        for (int i = 0; i < sent.size(); i++) {
            assertThat(sent.get(i)).isEqualTo(i + 1);
        }
        assertThat(closed).isEqualTo(draining && running.isEmpty());
    }
}
