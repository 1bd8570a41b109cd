package dev.zinniaring.soak;

import dev.zinniaring.calls.Answer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * Draws what backend servers do with the requests of a run, and how they send their answers. Used
 * on the event loop of the servers, except for {@link #stop}.
 */
final class Stutter {
    private static final int OK = 200;
    private static final int FAILURE = 500;
    private static final int MAX_WORK_MILLIS = 60;
    private static final int MAX_SMALL_BYTES = 300;
    private static final int MAX_LARGE_BYTES = 60_000;

    /** A run that lasts until its deadline ends within this time before it. */
    private static final int MAX_BEFORE_DEADLINE_MILLIS = 40;

    private static final AnswerKind[] KINDS = AnswerKind.values();

    private final SplittableRandom random;
    private final TaggedCalls calls;
    private volatile boolean stopped;

    Stutter(SplittableRandom random, TaggedCalls calls) {
        this.random = random;
        this.calls = calls;
    }

    /**
     * The work of a run.
     *
     * @param millis time that it takes
     * @param status status of its answer, if the calls that it makes succeed
     * @param calls number of calls that it makes
     */
    record Work(long millis, int status, int calls) {}

    TaggedCalls calls() {
        return calls;
    }

    /** Lets servers answer plainly from now on, as long as they are not failing. */
    void stop() {
        stopped = true;
    }

    boolean stopped() {
        return stopped;
    }

    /** Draws the work of a run. A run that makes calls is not itself called by a server. */
    Work work(boolean calledByServer, long leftMillis) {
        long millis = random.nextInt(1, MAX_WORK_MILLIS + 1);
        int made = calledByServer || random.nextInt(3) > 0 ? 0 : random.nextInt(1, 3);
        if (stopped) {
            return new Work(millis, OK, made);
        }
        int draw = random.nextInt(20);
        if (draw == 0) {
            return new Work(Math.max(1, leftMillis), 504, made);
        }
        if (draw == 1) {
            long beforeMillis = random.nextInt(MAX_BEFORE_DEADLINE_MILLIS);
            return new Work(Math.max(1, leftMillis - beforeMillis), OK, made);
        }
        return new Work(millis, draw < 6 ? FAILURE : OK, made);
    }

    /** Returns a body that names its run, of a drawn length. */
    byte[] body(String run) {
        int bytes = random.nextInt(1, random.nextInt(10) == 0 ? MAX_LARGE_BYTES : MAX_SMALL_BYTES);
        return (run + " ")
                .repeat(1 + bytes / (run.length() + 1))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Draws how an answer is sent; half of the answers are plain. */
    AnswerKind kind(int status) {
        if (stopped || random.nextBoolean()) {
            return AnswerKind.PLAIN;
        }
        AnswerKind kind = KINDS[random.nextInt(KINDS.length)];
        return kind.withoutId() && status == OK ? AnswerKind.COPY_LATE : kind;
    }

    AnswerBytes.Sending send(AnswerKind kind, Answer answer) {
        return AnswerBytes.of(kind, answer, random);
    }
}
