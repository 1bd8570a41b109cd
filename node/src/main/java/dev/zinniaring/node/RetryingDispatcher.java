package dev.zinniaring.node;

import dev.zinniaring.admission.FailedAttempt;
import dev.zinniaring.admission.RetryPolicy;
import dev.zinniaring.calls.StopAdmission;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.routing.CallOutcome;
import dev.zinniaring.routing.CallResult;
import dev.zinniaring.routing.RouteMatch;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Sends a call to the backend servers of its pool, with retries, until one of them answers. */
final class RetryingDispatcher {
    private static final int SERVER_ERROR = 500;

    private final NodeSettings settings;
    private final LocalDispatcher local;
    private final PeerDispatcher peers;
    private final RetryPolicy policy;
    private final StopAdmission stop;
    private final CallMetrics metrics;
    private final Clock clock;

    RetryingDispatcher(
            NodeSettings settings,
            LocalDispatcher local,
            PeerDispatcher peers,
            RetryPolicy policy,
            StopAdmission stop,
            CallMetrics metrics,
            Clock clock) {
        this.settings = settings;
        this.local = local;
        this.peers = peers;
        this.policy = policy;
        this.stop = stop;
        this.metrics = metrics;
        this.clock = clock;
    }

    /**
     * Returns the response of a backend server, with its body still unread.
     *
     * @throws CallException if no backend server answered; its outcome covers all attempts
     */
    HopResponse run(CallContext call, RouteMatch match, PoolState pool) throws CallException {
        pool.budget().recordCall();
        if (!stop.fits(call.deadlineNanos())) {
            throw CallException.notRun(503, StopAdmission.REASON);
        }
        Set<String> tried = new HashSet<>();
        CallException last = CallException.notRun(503, "no-server");
        boolean mayHaveRun = false;
        for (int attempt = 1; ; attempt++) {
            EndpointRecord server =
                    pool.balancer().choose(match.pool(), tried, settings.zone()).orElse(null);
            if (server == null) {
                throw withOverallOutcome(mayHaveRun, last);
            }
            tried.add(server.serverId());
            try {
                return attemptOnce(call.withAttempt(call.attempt() + attempt - 1), server, pool);
            } catch (CallException e) {
                last = e;
                mayHaveRun |= e.outcome() != Outcome.NOT_RUN;
                if (!mayRetry(call, match, pool, attempt, e)) {
                    throw withOverallOutcome(mayHaveRun, e);
                }
                metrics.retried(pool.pool().name());
            }
        }
    }

    /**
     * Returns the failure to report for the call: "not run" of the last attempt becomes "unknown"
     * if an earlier attempt may have run.
     */
    private static CallException withOverallOutcome(boolean mayHaveRun, CallException last) {
        return mayHaveRun && last.outcome() == Outcome.NOT_RUN
                ? CallException.unknown(502, last.reason())
                : last;
    }

    private boolean mayRetry(
            CallContext call, RouteMatch match, PoolState pool, int attempt, CallException e) {
        boolean callerFault = e.status() < SERVER_ERROR;
        if (callerFault || call.exchange().cancellation().cancelled()) {
            return false;
        }
        if (!call.body().repeatable() || !stop.fits(call.deadlineNanos())) {
            return false;
        }
        return policy.mayRetry(
                new FailedAttempt(
                        match.route().idempotent(),
                        match.route().maxRetries(),
                        attempt,
                        e.outcome() == Outcome.NOT_RUN,
                        call.attempt(),
                        pool.shedder().isShedding(call.rankOrder()),
                        call.deadlineNanos() - clock.nanos()),
                pool.budget());
    }

    private HopResponse attemptOnce(CallContext call, EndpointRecord server, PoolState pool)
            throws CallException {
        long startNanos = clock.nanos();
        LoadReport report = new LoadReport();
        pool.balancer().started(server.serverId());
        CallOutcome outcome = CallOutcome.CANCELLED;
        boolean answered = false;
        try {
            HopResponse hopResponse = send(call, server, report);
            int status = hopResponse.httpResponse().code();
            hopResponse.onEnd(
                    end ->
                            reportResult(
                                    server,
                                    pool,
                                    result(outcome(end, status), startNanos, report)));
            answered = true;
            return hopResponse;
        } catch (CallException e) {
            outcome = outcome(e);
            throw e;
        } finally {
            pool.shedder().recordPressure(report.pressure());
            if (!answered) {
                reportResult(server, pool, result(outcome, startNanos, report));
            }
        }
    }

    private HopResponse send(CallContext call, EndpointRecord server, LoadReport report)
            throws CallException {
        if (!server.nodeId().equals(settings.nodeId())) {
            return peers.run(call, server, report);
        }
        try {
            return local.run(call, server.serverId());
        } finally {
            local.report(server.serverId(), report);
        }
    }

    private static void reportResult(EndpointRecord server, PoolState pool, CallResult result) {
        pool.balancer().finished(server.serverId(), result);
    }

    private CallResult result(CallOutcome outcome, long startNanos, LoadReport report) {
        return new CallResult(
                outcome, clock.nanos() - startNanos, report.load(), report.pressure());
    }

    private static CallOutcome outcome(HopResponse.End end, int status) {
        return switch (end) {
            case COMPLETE -> status >= SERVER_ERROR ? CallOutcome.FAILED : CallOutcome.SUCCESS;
            case BROKEN -> CallOutcome.FAILED;
            case DISCARDED -> CallOutcome.CANCELLED;
        };
    }

    private static CallOutcome outcome(CallException e) {
        if (e.reason().equals("cancelled") || e.status() < SERVER_ERROR) {
            return CallOutcome.CANCELLED;
        }
        if (e.outcome() != Outcome.NOT_RUN) {
            return CallOutcome.FAILED;
        }
        return unreachable(e.reason()) ? CallOutcome.CONNECT_FAILED : CallOutcome.REFUSED;
    }

    private static boolean unreachable(@Nullable String reason) {
        return "node-unreachable".equals(reason) || "connect-failed".equals(reason);
    }
}
