package dev.zinniaring.node;

import dev.zinniaring.admission.FailedAttempt;
import dev.zinniaring.admission.RetryPolicy;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.routing.CallOutcome;
import dev.zinniaring.routing.CallResult;
import dev.zinniaring.routing.RouteMatch;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Sends a call to the backend servers of its pool, with retries, until one of them answers. */
final class Attempts {
    private static final int SERVER_ERROR = 500;

    private final NodeSettings settings;
    private final OwnerPath owner;
    private final PeerPath peers;
    private final RetryPolicy policy;
    private final CallMetrics metrics;
    private final Clock clock;

    Attempts(
            NodeSettings settings,
            OwnerPath owner,
            PeerPath peers,
            RetryPolicy policy,
            CallMetrics metrics,
            Clock clock) {
        this.settings = settings;
        this.owner = owner;
        this.peers = peers;
        this.policy = policy;
        this.metrics = metrics;
        this.clock = clock;
    }

    /**
     * Returns the response of a backend server, with its body still unread.
     *
     * @throws CallException if no backend server answered; its outcome covers all attempts
     */
    HopAnswer run(CallContext call, RouteMatch match, PoolState pool) throws CallException {
        pool.budget().called();
        Set<String> tried = new HashSet<>();
        CallException last = CallException.notRun(503, "no-server");
        boolean mayHaveRun = false;
        for (int attempt = 1; ; attempt++) {
            EndpointRecord server =
                    pool.balancer().choose(match.pool(), tried, settings.zone()).orElse(null);
            if (server == null) {
                throw covering(mayHaveRun, last);
            }
            tried.add(server.serverId());
            try {
                return once(call.withAttempt(call.attempt() + attempt - 1), server, pool);
            } catch (CallException e) {
                last = e;
                mayHaveRun |= e.outcome() != Outcome.NOT_RUN;
                if (!mayRetry(call, match, pool, attempt, e)) {
                    throw covering(mayHaveRun, e);
                }
                metrics.retried(pool.pool().name());
            }
        }
    }

    /** Returns the failure of the call: not "not run" if an earlier attempt may have run. */
    private static CallException covering(boolean mayHaveRun, CallException last) {
        return mayHaveRun && last.outcome() == Outcome.NOT_RUN
                ? CallException.unknown(502, last.reason())
                : last;
    }

    private boolean mayRetry(
            CallContext call, RouteMatch match, PoolState pool, int attempt, CallException e) {
        boolean ofTheCall = e.status() < SERVER_ERROR;
        if (ofTheCall || call.exchange().cancellation().cancelled()) {
            return false;
        }
        if (!call.body().repeatable()) {
            return false;
        }
        return policy.mayRetry(
                new FailedAttempt(
                        match.route().idempotent(),
                        match.route().maxRetries(),
                        attempt,
                        e.outcome() == Outcome.NOT_RUN,
                        call.attempt(),
                        pool.shedder().shedding(call.rankOrder()),
                        call.deadlineNanos() - clock.nanos()),
                pool.budget());
    }

    private HopAnswer once(CallContext call, EndpointRecord server, PoolState pool)
            throws CallException {
        long startNanos = clock.nanos();
        LoadReport report = new LoadReport();
        pool.balancer().started(server.serverId());
        CallOutcome outcome = CallOutcome.CANCELLED;
        boolean answered = false;
        try {
            HopAnswer answer = send(call, server, report);
            int status = answer.response().code();
            answer.onEnd(
                    end -> ended(server, pool, result(outcome(end, status), startNanos, report)));
            answered = true;
            return answer;
        } catch (CallException e) {
            outcome = outcome(e);
            throw e;
        } finally {
            pool.shedder().reported(report.pressure());
            if (!answered) {
                ended(server, pool, result(outcome, startNanos, report));
            }
        }
    }

    private HopAnswer send(CallContext call, EndpointRecord server, LoadReport report)
            throws CallException {
        if (!server.nodeId().equals(settings.nodeId())) {
            return peers.run(call, server, report);
        }
        try {
            return owner.run(call, server.serverId());
        } finally {
            owner.report(server.serverId(), report);
        }
    }

    private static void ended(EndpointRecord server, PoolState pool, CallResult result) {
        pool.balancer().finished(server.serverId(), result);
    }

    private CallResult result(CallOutcome outcome, long startNanos, LoadReport report) {
        return new CallResult(
                outcome, clock.nanos() - startNanos, report.load(), report.pressure());
    }

    private static CallOutcome outcome(HopAnswer.End end, int status) {
        return switch (end) {
            case WHOLE -> status >= SERVER_ERROR ? CallOutcome.FAILED : CallOutcome.SUCCESS;
            case BROKEN -> CallOutcome.FAILED;
            case UNREAD -> CallOutcome.CANCELLED;
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
