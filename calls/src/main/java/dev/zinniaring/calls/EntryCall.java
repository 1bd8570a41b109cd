package dev.zinniaring.calls;

import dev.zinniaring.accounts.Account;
import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.Suspect;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * State of one call at its entry node, from its arrival to its single answer. While an owner node
 * is suspected, the call may be sent to a second backend server (hedging); the first complete
 * answer wins.
 */
final class EntryCall {
    private static final int SERVER_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Maximum number of owner nodes to which a call is offered before it is refused. */
    private static final int MAX_PLACEMENTS = 4;

    /**
     * Consecutive failed probes of the owner node after which an idempotent call is abandoned. With
     * one, nodes that were merely slow lost calls that their backend servers were still running.
     */
    private static final int MAX_FAILED_PROBES = 2;

    /** Multiple of a route's mean time above which an answer speaks against a new version. */
    private static final double SLOW_FACTOR = 4;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EntryCalls calls;
    private final Exchange exchange;
    private final CallRoute route;
    private final @Nullable Account account;
    private final int rankOrder;
    private final long version;
    private final Clock clock;
    private final String service;
    private final String callId;
    private final long fingerprint;
    private final long deadlineNanos;
    private final long targetNanos;
    private final Set<String> tried = new HashSet<>();
    private final Set<Attempt> running = new HashSet<>();
    private @Nullable Future<?> timer;
    private @Nullable EndpointRecord lastServer;
    private int placements;
    private int attempts;
    private boolean mayHaveRun;

    /** Failure that a server answered, kept while another server is tried. */
    private @Nullable Answer serverFailure;

    private String lastReason = "no-server";

    /**
     * Creates a call.
     *
     * @param account account that makes the call, null if none is needed
     * @param version version of the configuration that the route is from
     */
    EntryCall(
            EntryCalls calls,
            Exchange exchange,
            CallRoute route,
            @Nullable Account account,
            long version) {
        this.calls = calls;
        this.exchange = exchange;
        this.route = route;
        this.account = account;
        this.rankOrder = account == null ? route.rankOrder() : account.rankOrder(route.rankOrder());
        this.version = version;
        this.clock = calls.clock();
        this.service = route.serviceSelector().next();
        HttpHeaders headers = exchange.headers();
        this.callId = headers.get(calls.names().callId(), "");
        long deadlineMillis = route.route().deadlineMillis();
        long requestedMillis =
                HopHeaders.number(headers, calls.names().deadlineMillis(), deadlineMillis);
        this.deadlineNanos =
                exchange.arrivedNanos()
                        + Math.min(requestedMillis, deadlineMillis) * NANOS_PER_MILLI;
        this.targetNanos = exchange.arrivedNanos() + route.targetMillis() * NANOS_PER_MILLI;
        HopHeaders.removeConnectionOptions(headers, calls.names()::endToEnd);
        headers.set(calls.names().callerService(), calls.settings().service());
        headers.remove(calls.names().expectedServer());
        if (account != null) {
            headers.set(calls.names().account(), account.name());
        }
        this.fingerprint = CallFingerprint.of(exchange, calls.names());
    }

    void start() {
        calls.budget().recordCall(service);
        long leftNanos = deadlineNanos - clock.nanos();
        if (leftNanos <= 0) {
            lastReason = "too-late";
            failIfNoneRunning();
            return;
        }
        timer = calls.loop().schedule(this::timedOut, leftNanos, TimeUnit.NANOSECONDS);
        exchange.onCancel(this::cancelled);
        tryNextServer();
    }

    private void tryNextServer() {
        if (exchange.ended()) {
            return;
        }
        if (held()) {
            lastReason = CrashWatch.HELD;
            failIfNoneRunning();
            return;
        }
        OptionalLong serverDeadlineNanos = serverDeadlineNanos();
        if (serverDeadlineNanos.isEmpty()) {
            lastReason = StopAdmission.REASON;
            failIfNoneRunning();
            return;
        }
        EndpointRecord chosen = selectServer();
        if (chosen == null) {
            if (placements == 0 && !servers().isEmpty()) {
                lastReason = "back-off";
            }
            failIfNoneRunning();
            return;
        }
        placements++;
        tried.add(chosen.serverId());
        lastServer = chosen;
        new Attempt(chosen, serverDeadlineNanos.getAsLong()).start();
    }

    /** Returns whether the request must not run, as it crashes the servers that run it. */
    private boolean held() {
        return calls.guard().verdict(fingerprint) == CrashGuard.Verdict.HOLD;
    }

    /** Returns the deadline for a server, or empty if this node ends too soon for the call. */
    private OptionalLong serverDeadlineNanos() {
        return calls.stop()
                .serverDeadlineNanos(
                        deadlineNanos,
                        route.route().idempotent(),
                        calls.balancer().meanNanos(route));
    }

    private @Nullable EndpointRecord selectServer() {
        return placements >= MAX_PLACEMENTS
                ? null
                : calls.balancer().select(servers(), tried, route, targetNanos);
    }

    /** Returns the servers that the call may use; only a first placement tries a new version. */
    private List<EndpointRecord> servers() {
        return calls.versions().candidates(service, calls.servers().of(service), placements == 0);
    }

    private void onResult(OwnerResult result) {
        if (exchange.ended()) {
            return;
        }
        switch (result.outcome()) {
            case RAN -> handleRan(result);
            case NOT_RUN -> handleNotRun(result);
            case DECLINED -> handleDeclined(result);
            default -> handleUnknown(result);
        }
    }

    private void handleRan(OwnerResult result) {
        attempts++;
        Answer answer = result.answer();
        if (answer == null) {
            handleUnknown(result);
            return;
        }
        if (answer.status() >= SERVER_ERROR && mayRetry()) {
            serverFailure = answer;
            retry("status-" + answer.status());
            return;
        }
        deliver(answer);
    }

    /** Ends the call with the answer of a server. */
    private void deliver(Answer answer) {
        HttpHeaders headers = HopHeaders.withKnownNames();
        HopHeaders.copyEndToEnd(answer.headers(), headers);
        if (answer.status() >= SERVER_ERROR) {
            log("server-error", "status-" + answer.status());
        }
        calls.counters().increment("answered");
        finish(new Answer(answer.status(), headers, answer.body()), "answered");
    }

    private void handleNotRun(OwnerResult result) {
        lastReason = result.reason();
        calls.counters().increment("placed_again");
        tryNextServer();
    }

    private void handleDeclined(OwnerResult result) {
        attempts++;
        lastReason = result.reason();
        if (attemptsLeft()
                && serverDeadlineNanos().isPresent()
                && calls.budget().tryTake(service)) {
            retry(result.reason());
        } else {
            failIfNoneRunning();
        }
    }

    private void handleUnknown(OwnerResult result) {
        attempts++;
        mayHaveRun = true;
        lastReason = result.reason();
        if (mayRetry()) {
            retry(result.reason());
        } else {
            failIfNoneRunning();
        }
    }

    /**
     * Sends the call to a second server if it may be retried, and keeps waiting for the first.
     * Returns whether a second attempt was started.
     */
    private boolean hedge() {
        if (exchange.ended() || selectServer() == null || !mayRetry()) {
            return false;
        }
        retry("peer-suspected");
        return true;
    }

    private boolean attemptsLeft() {
        return attempts + running.size() < route.maxAttempts();
    }

    private boolean mayRetry() {
        double leftNanos = deadlineNanos - clock.nanos();
        return route.route().idempotent()
                && attemptsLeft()
                && !held()
                && serverDeadlineNanos().isPresent()
                && leftNanos > calls.balancer().meanNanos(route) / 2
                && calls.budget().tryTake(service);
    }

    private void retry(String reason) {
        calls.counters().increment("repeated");
        log("repeat", reason);
        tryNextServer();
    }

    private void failIfNoneRunning() {
        if (!running.isEmpty()) {
            return;
        }
        Answer kept = serverFailure;
        if (kept != null) {
            deliver(kept);
            return;
        }
        if (mayHaveRun) {
            calls.counters().increment("failed");
            log("failed", lastReason);
            finish(refusal(BAD_GATEWAY), "failed");
            return;
        }
        calls.accounts().giveBack(account, route);
        calls.counters().increment("refused");
        calls.counters().increment("refused_" + lastReason.replace('-', '_'));
        log("refused", lastReason);
        Answer refusal = refusal(SERVICE_UNAVAILABLE);
        refusal.headers().set("Retry-After", retrySeconds());
        finish(refusal, "refused");
    }

    private String retrySeconds() {
        return lastReason.equals(CrashWatch.HELD)
                ? Long.toString(calls.guard().timeToExpiry(fingerprint).toSeconds())
                : calls.retrySeconds(route, servers(), targetNanos, deadlineNanos, lastReason);
    }

    private void timedOut() {
        if (exchange.ended()) {
            return;
        }
        Answer kept = serverFailure;
        if (kept != null) {
            deliver(kept);
            return;
        }
        boolean sent = !running.isEmpty() || mayHaveRun;
        if (!sent) {
            calls.accounts().giveBack(account, route);
        }
        calls.counters().increment("timed_out");
        log("timed-out", lastReason);
        finish(refusal(sent ? GATEWAY_TIMEOUT : SERVICE_UNAVAILABLE), "timed-out");
    }

    private Answer refusal(int status) {
        Answer refusal = Answer.of(status);
        refusal.headers()
                .set(HopHeaders.OUTCOME, status == SERVICE_UNAVAILABLE ? "not-run" : "unknown");
        refusal.headers().set(HopHeaders.REASON, lastReason);
        return refusal;
    }

    private void cancelled() {
        calls.counters().increment("callers_left");
        cancelRunning();
        stopTimer();
    }

    private void cancelRunning() {
        List.copyOf(running).forEach(Attempt::cancel);
    }

    private void finish(Answer answer, String outcome) {
        stopTimer();
        cancelRunning();
        calls.counters().answered(rankOrder, outcome, clock.nanos() - exchange.arrivedNanos());
        exchange.answer(answer);
    }

    private void stopTimer() {
        Future<?> pending = timer;
        if (pending != null) {
            pending.cancel(false);
        }
    }

    private void log(String decision, String reason) {
        EndpointRecord server = lastServer;
        calls.log()
                .logDecision(
                        decision,
                        callId,
                        route.route().name(),
                        "request",
                        CallFingerprint.text(fingerprint),
                        "reason",
                        reason,
                        "crashes",
                        calls.guard().evidence(fingerprint),
                        "server",
                        server == null ? "none" : server.serverId(),
                        "limit",
                        server == null ? "none" : calls.balancer().limitText(server),
                        "attempts",
                        attempts,
                        "placements",
                        placements,
                        "rank",
                        rankOrder,
                        "account",
                        account == null ? "none" : account.name(),
                        "target_ms",
                        route.targetMillis(),
                        "version",
                        version,
                        "left_ms",
                        (deadlineNanos - clock.nanos()) / NANOS_PER_MILLI);
    }

    /** One attempt to run the call on a backend server. */
    private final class Attempt {
        private final EndpointRecord server;
        private final long sentNanos = clock.nanos();
        private final OwnerJob job;
        private boolean hedged;

        Attempt(EndpointRecord server, long serverDeadlineNanos) {
            this.server = server;
            this.job =
                    new OwnerJob(
                            server.serverId(),
                            exchange,
                            callId,
                            route.route().name(),
                            route.targetMillis(),
                            rankOrder,
                            serverDeadlineNanos,
                            targetNanos,
                            this::ended);
            job.knownLimitPerSecond(calls.balancer().limitPerSecond(server));
            job.identify(fingerprint, calls.guard().suspect(fingerprint));
            job.ofAccount(account != null);
            job.firstPlacement(placements == 1 && servers().size() > 1);
            job.onProbeFailed(this::probeFailed);
        }

        void start() {
            running.add(this);
            calls.balancer().callStarted(server);
            if (server.callAddress().equals(calls.settings().peerAddress())) {
                calls.owner().accept(job);
            } else {
                calls.peers().send(job, server);
            }
        }

        private void ended(OwnerResult result) {
            running.remove(this);
            calls.balancer().callEnded(server, route, clock.nanos() - sentNanos, result);
            if (result.outcome() != OwnerResult.Outcome.NOT_RUN) {
                recordVersionOutcome(failed(result));
            }
            Suspect suspect = result.suspect();
            if (suspect != null) {
                calls.guard().merge(List.of(suspect));
            }
            Answer answer = result.answer();
            if (answer != null && ServerNotice.of(answer.headers(), calls.names()).leaving()) {
                calls.balancer().recordLeaving(server);
            }
            EntryCall.this.onResult(result);
        }

        /**
         * Hedges the call when its owner node does not answer a probe. If no second attempt is
         * running after repeated failed probes, an idempotent call is abandoned, so that its caller
         * can retry elsewhere. An entry node that is shutting down keeps waiting, so that its last
         * calls can still be answered.
         */
        private void probeFailed(int failedProbes) {
            hedged = hedged || hedge();
            if (failedProbes >= MAX_FAILED_PROBES
                    && running.size() == 1
                    && route.route().idempotent()
                    && !calls.leaving()) {
                job.cancel();
                ended(OwnerResult.unknown("peer-silent", null));
            }
        }

        private boolean failed(OwnerResult result) {
            Answer answer = result.answer();
            return answer == null || answer.status() >= SERVER_ERROR;
        }

        private void recordVersionOutcome(boolean failed) {
            calls.versionShares()
                    .ran(service, server.version(), route.route().name(), failed || slow());
        }

        private boolean slow() {
            return clock.nanos() - sentNanos > SLOW_FACTOR * calls.balancer().meanNanos(route);
        }

        void cancel() {
            if (slow()) {
                recordVersionOutcome(true);
            }
            running.remove(this);
            calls.balancer().callEnded(server, route, 0, null);
            job.cancel();
        }
    }
}
