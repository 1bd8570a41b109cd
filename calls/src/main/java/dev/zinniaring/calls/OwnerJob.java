package dev.zinniaring.calls;

import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** A call that an entry node has given to the node beside a backend server. */
final class OwnerJob {
    private final String serverId;
    private final Exchange exchange;
    private final String callId;
    private final String routeName;
    private final long routeTargetMillis;
    private final int rankOrder;
    private final long deadlineNanos;
    private final long targetNanos;
    private final Consumer<OwnerResult> results;
    private Runnable cancellation = () -> {};
    private IntConsumer suspicion = failedProbes -> {};
    private boolean ended;

    /**
     * Creates a job.
     *
     * @param serverId the backend server that was chosen
     * @param rankOrder urgency, 0 for the most urgent
     * @param deadlineNanos reading of the clock after which no answer is wanted
     * @param targetNanos reading of the clock up to which an answer has its full worth
     * @param results takes the result, once
     */
    OwnerJob(
            String serverId,
            Exchange exchange,
            String callId,
            String routeName,
            long routeTargetMillis,
            int rankOrder,
            long deadlineNanos,
            long targetNanos,
            Consumer<OwnerResult> results) {
        this.serverId = serverId;
        this.exchange = exchange;
        this.callId = callId;
        this.routeName = routeName;
        this.routeTargetMillis = routeTargetMillis;
        this.rankOrder = rankOrder;
        this.deadlineNanos = deadlineNanos;
        this.targetNanos = targetNanos;
        this.results = results;
    }

    String serverId() {
        return serverId;
    }

    Exchange exchange() {
        return exchange;
    }

    String callId() {
        return callId;
    }

    String routeName() {
        return routeName;
    }

    /** Returns the target that the route declares, in milliseconds. */
    long routeTargetMillis() {
        return routeTargetMillis;
    }

    int rankOrder() {
        return rankOrder;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    long targetNanos() {
        return targetNanos;
    }

    boolean ended() {
        return ended;
    }

    /** Sets what ends the work if the job is cancelled. */
    void onCancel(Runnable action) {
        cancellation = action;
    }

    /** Sets what takes the number of probes in a row that the node with the job did not answer. */
    void onSuspicion(IntConsumer action) {
        suspicion = action;
    }

    /** Tells that the node with the job did not answer a probe; the job goes on. */
    void suspected(int failedProbes) {
        if (!ended) {
            suspicion.accept(failedProbes);
        }
    }

    /** Ends the job with a result; does nothing if it has ended. */
    void end(OwnerResult result) {
        if (!ended) {
            ended = true;
            results.accept(result);
        }
    }

    /** Gives the job up without a result: its caller wants none any more. */
    void cancel() {
        if (!ended) {
            ended = true;
            cancellation.run();
        }
    }
}
