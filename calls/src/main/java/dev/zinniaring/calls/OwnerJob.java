package dev.zinniaring.calls;

import dev.zinniaring.admission.Suspect;
import dev.zinniaring.kernel.RateLimit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;

/** One attempt of a call, sent by an entry node to the owner node of a backend server. */
final class OwnerJob implements AdmissibleCall {
    private final String serverId;
    private final Exchange exchange;
    private final String callId;
    private final String routeName;
    private final long routeTargetMillis;
    private final int rankOrder;
    private final long deadlineNanos;
    private final long targetNanos;
    private final Consumer<OwnerResult> results;
    private double knownLimitPerSecond = RateLimit.NONE;
    private boolean ofAccount;
    private boolean firstPlacement;
    private long fingerprint;
    private @Nullable Suspect knownSuspect;
    private Runnable cancellation = () -> {};
    private IntConsumer probeFailureAction = failedProbes -> {};
    private boolean ended;

    /**
     * Creates a job.
     *
     * @param serverId id of the selected backend server
     * @param routeTargetMillis latency target that the route declares, in milliseconds
     * @param rankOrder order of the rank, 0 for the most urgent
     * @param deadlineNanos clock reading after which the caller no longer wants an answer
     * @param targetNanos clock reading of the latency target, up to which an answer has full value
     * @param results receives the result, at most once
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

    @Override
    public String routeName() {
        return routeName;
    }

    @Override
    public long routeTargetMillis() {
        return routeTargetMillis;
    }

    @Override
    public int rankOrder() {
        return rankOrder;
    }

    @Override
    public long deadlineNanos() {
        return deadlineNanos;
    }

    @Override
    public long targetNanos() {
        return targetNanos;
    }

    @Override
    public boolean ofAccount() {
        return ofAccount;
    }

    /** Sets whether a client account makes the call. */
    void ofAccount(boolean value) {
        ofAccount = value;
    }

    /** Returns whether other servers have not been tried, so that the call may go elsewhere. */
    boolean firstPlacement() {
        return firstPlacement;
    }

    /** Sets whether other servers have not been tried and there are some. */
    void firstPlacement(boolean value) {
        firstPlacement = value;
    }

    /** Returns the request limit of the server as the entry node knows it. */
    double knownLimitPerSecond() {
        return knownLimitPerSecond;
    }

    /** Sets the request limit of the server as the entry node knows it. */
    void knownLimitPerSecond(double perSecond) {
        knownLimitPerSecond = perSecond;
    }

    /** Returns the fingerprint of the request. */
    long fingerprint() {
        return fingerprint;
    }

    /** Returns what the entry node knows of crashes at which the request was in flight. */
    @Nullable Suspect knownSuspect() {
        return knownSuspect;
    }

    /**
     * Sets the fingerprint of the request and what the entry node knows of crashes at which it was
     * in flight, null if nothing.
     */
    void identify(long requestFingerprint, @Nullable Suspect suspect) {
        fingerprint = requestFingerprint;
        knownSuspect = suspect;
    }

    boolean ended() {
        return ended;
    }

    /** Sets the action that stops the work if the job is cancelled; replaces an earlier one. */
    void onCancel(Runnable action) {
        cancellation = action;
    }

    /** Sets the action that receives the number of consecutive failed probes of the owner node. */
    void onProbeFailed(IntConsumer action) {
        probeFailureAction = action;
    }

    /** Notifies the job that its owner node did not answer a probe; the job continues. */
    void probeFailed(int failedProbes) {
        if (!ended) {
            probeFailureAction.accept(failedProbes);
        }
    }

    /** Ends the job with a result; does nothing if it has ended already. */
    void end(OwnerResult result) {
        if (!ended) {
            ended = true;
            results.accept(result);
        }
    }

    /** Cancels the job; it ends without a result. */
    void cancel() {
        if (!ended) {
            ended = true;
            cancellation.run();
        }
    }
}
