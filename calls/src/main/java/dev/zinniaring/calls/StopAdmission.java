package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import java.util.OptionalLong;

/**
 * Decides which calls a node that is shutting down still passes on, so that none is cut when its
 * process ends. Admits every call until the shutdown starts. Does no I/O. Safe for use by several
 * threads.
 */
public final class StopAdmission {
    /** Reason of refusals that this class decides. */
    public static final String REASON = "node-stopping";

    /**
     * Time between the deadline of the last calls and the end of the process, in which their
     * answers travel to the callers.
     */
    private static final long ANSWER_MARGIN_NANOS = 200_000_000L;

    /** Multiple of its mean run time for which there must be time to run a call. */
    private static final double RUN_TIME_FACTOR = 2;

    private final Clock clock;
    private volatile boolean stopping;
    private volatile long lastDeadlineNanos;

    /** Creates the decisions of a node that is not shutting down. */
    public StopAdmission(Clock clock) {
        this.clock = clock;
    }

    /**
     * Starts the shutdown.
     *
     * @param endNanos clock reading at which the process ends
     */
    public void stopAt(long endNanos) {
        lastDeadlineNanos = endNanos - ANSWER_MARGIN_NANOS;
        stopping = true;
    }

    /** Returns whether the shutdown has started. */
    boolean stopping() {
        return stopping;
    }

    /** Returns whether a call ends before the process does, however long it runs. */
    public boolean fits(long deadlineNanos) {
        return !stopping || deadlineNanos - lastDeadlineNanos <= 0;
    }

    /**
     * Returns the deadline with which a call may be sent to a server, or empty if it must not be
     * sent. An idempotent call that is expected to end in time is admitted with the time that is
     * left as its deadline: should it take longer, the server itself ends it.
     *
     * @param deadlineNanos clock reading after which the caller no longer wants an answer
     * @param expectedNanos mean run time of the call
     */
    OptionalLong serverDeadlineNanos(long deadlineNanos, boolean idempotent, double expectedNanos) {
        if (fits(deadlineNanos)) {
            return OptionalLong.of(deadlineNanos);
        }
        long leftNanos = lastDeadlineNanos - clock.nanos();
        return idempotent && RUN_TIME_FACTOR * expectedNanos <= leftNanos
                ? OptionalLong.of(lastDeadlineNanos)
                : OptionalLong.empty();
    }
}
