package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One call at its entry node, from its arrival to its only answer. While a node is suspected, a
 * call may be at two backend servers; the first whole answer counts.
 */
final class EntryCall {
    private static final int SERVER_ERROR = 500;
    private static final int FAILED = 502;
    private static final int UNAVAILABLE = 503;
    private static final int DEADLINE = 504;

    /** Nodes that are asked for a place before the call is refused. */
    private static final int MAX_PLACEMENTS = 4;

    /**
     * A call that may be repeated is given up after this many failed probes of its node in a row.
     * After one, nodes that were only slow lost calls which their backend servers were running.
     */
    private static final int GIVE_UP_PROBES = 2;

    private static final long MILLI_NANOS = 1_000_000L;

    private final EntryCalls calls;
    private final Exchange exchange;
    private final CallRoute route;
    private final long version;
    private final Clock clock;
    private final String service;
    private final String callId;
    private final long deadlineNanos;
    private final long targetNanos;
    private final Set<String> tried = new HashSet<>();
    private final Set<Attempt> running = new HashSet<>();
    private @Nullable Future<?> timer;
    private @Nullable EndpointRecord lastServer;
    private int placements;
    private int attempts;
    private boolean mayHaveRun;
    private String lastReason = "no-server";

    EntryCall(EntryCalls calls, Exchange exchange, CallRoute route, long version) {
        this.calls = calls;
        this.exchange = exchange;
        this.route = route;
        this.version = version;
        this.clock = calls.clock();
        this.service = route.services().next();
        HttpHeaders headers = exchange.headers();
        this.callId = headers.get(calls.names().callId(), "");
        long deadlineMillis = route.route().deadlineMillis();
        long askedMillis =
                HopHeaders.number(headers, calls.names().deadlineMillis(), deadlineMillis);
        this.deadlineNanos =
                exchange.arrivedNanos() + Math.min(askedMillis, deadlineMillis) * MILLI_NANOS;
        this.targetNanos = exchange.arrivedNanos() + route.targetMillis() * MILLI_NANOS;
        headers.set(calls.names().callerService(), calls.settings().service());
        headers.remove(calls.names().expectedServer());
    }

    void begin() {
        calls.budget().called(service);
        long leftNanos = deadlineNanos - clock.nanos();
        timer = calls.loop().schedule(this::timedOut, Math.max(0, leftNanos), TimeUnit.NANOSECONDS);
        exchange.onCancel(this::cancelled);
        place();
    }

    private void place() {
        if (exchange.ended()) {
            return;
        }
        EndpointRecord chosen = choose();
        if (chosen == null) {
            giveUp();
            return;
        }
        placements++;
        tried.add(chosen.serverId());
        lastServer = chosen;
        new Attempt(chosen).start();
    }

    private @Nullable EndpointRecord choose() {
        return placements >= MAX_PLACEMENTS
                ? null
                : calls.placement().choose(calls.servers().of(service), tried, route, targetNanos);
    }

    private void ended(OwnerResult result) {
        if (exchange.ended()) {
            return;
        }
        switch (result.outcome()) {
            case RAN -> ran(result);
            case NOT_RUN -> notRun(result);
            case DECLINED -> declined(result);
            default -> unknown(result);
        }
    }

    private void ran(OwnerResult result) {
        attempts++;
        Answer answer = result.answer();
        if (answer == null) {
            unknown(result);
            return;
        }
        if (answer.status() >= SERVER_ERROR && mayRepeat()) {
            repeat("status-" + answer.status());
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        HopHeaders.copyEndToEnd(answer.headers(), headers);
        if (answer.status() >= SERVER_ERROR) {
            log("server-error", "status-" + answer.status());
        }
        calls.counters().increment("answered");
        finish(new Answer(answer.status(), headers, answer.body()), "answered");
    }

    private void notRun(OwnerResult result) {
        lastReason = result.reason();
        calls.counters().increment("placed_again");
        place();
    }

    private void declined(OwnerResult result) {
        attempts++;
        lastReason = result.reason();
        if (attemptsLeft() && calls.budget().take(service)) {
            repeat(result.reason());
        } else {
            giveUp();
        }
    }

    private void unknown(OwnerResult result) {
        attempts++;
        mayHaveRun = true;
        lastReason = result.reason();
        if (mayRepeat()) {
            repeat(result.reason());
        } else {
            giveUp();
        }
    }

    /**
     * Sends the call to a second server if it may be repeated, and goes on waiting for the first.
     */
    private boolean hedge() {
        if (exchange.ended() || choose() == null || !mayRepeat()) {
            return false;
        }
        repeat("peer-suspected");
        return true;
    }

    private boolean attemptsLeft() {
        return attempts + running.size() < route.maxAttempts();
    }

    private boolean mayRepeat() {
        double leftNanos = deadlineNanos - clock.nanos();
        return route.route().idempotent()
                && attemptsLeft()
                && leftNanos > calls.placement().meanNanos(route) / 2
                && calls.budget().take(service);
    }

    private void repeat(String reason) {
        calls.counters().increment("repeated");
        log("repeat", reason);
        place();
    }

    private void giveUp() {
        if (!running.isEmpty()) {
            return;
        }
        if (mayHaveRun) {
            calls.counters().increment("failed");
            log("failed", lastReason);
            finish(refusal(FAILED), "failed");
            return;
        }
        calls.counters().increment("refused");
        log("refused", lastReason);
        Answer refusal = refusal(UNAVAILABLE);
        long nowNanos = clock.nanos();
        refusal.headers()
                .set(
                        "Retry-After",
                        RetryAfter.seconds(
                                (targetNanos - nowNanos) / 1e6,
                                (deadlineNanos - nowNanos) / 1e6,
                                calls.placement().meanNanos(route) / 1e6,
                                calls.random()));
        finish(refusal, "refused");
    }

    private void timedOut() {
        if (exchange.ended()) {
            return;
        }
        boolean sent = !running.isEmpty() || mayHaveRun;
        calls.counters().increment("timed_out");
        log("timed-out", lastReason);
        finish(refusal(sent ? DEADLINE : UNAVAILABLE), "timed-out");
    }

    private Answer refusal(int status) {
        Answer refusal = Answer.of(status);
        refusal.headers().set(HopHeaders.OUTCOME, status == UNAVAILABLE ? "not-run" : "unknown");
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
        calls.counters()
                .answered(route.rankOrder(), outcome, clock.nanos() - exchange.arrivedNanos());
        exchange.answer(answer);
    }

    private void stopTimer() {
        Future<?> pending = timer;
        if (pending != null) {
            pending.cancel(false);
        }
    }

    private void log(String decision, String reason) {
        EndpointRecord used = lastServer;
        calls.log()
                .decided(
                        decision,
                        callId,
                        route.route().name(),
                        "reason",
                        reason,
                        "server",
                        used == null ? "none" : used.serverId(),
                        "attempts",
                        attempts,
                        "placements",
                        placements,
                        "rank",
                        route.rankOrder(),
                        "target_ms",
                        route.targetMillis(),
                        "version",
                        version,
                        "left_ms",
                        (deadlineNanos - clock.nanos()) / MILLI_NANOS);
    }

    /** The call at one backend server. */
    private final class Attempt {
        private final EndpointRecord used;
        private final long sentNanos = clock.nanos();
        private final OwnerJob job;
        private boolean hedged;

        Attempt(EndpointRecord used) {
            this.used = used;
            this.job =
                    new OwnerJob(
                            used.serverId(),
                            exchange,
                            callId,
                            route.route().name(),
                            route.targetMillis(),
                            route.rankOrder(),
                            deadlineNanos,
                            targetNanos,
                            this::ended);
            job.onSuspicion(this::suspected);
        }

        void start() {
            running.add(this);
            calls.placement().started(used);
            if (used.callAddress().equals(calls.settings().peerAddress())) {
                calls.owner().accept(job);
            } else {
                calls.peers().send(job, used);
            }
        }

        private void ended(OwnerResult result) {
            running.remove(this);
            calls.placement().ended(used, route, clock.nanos() - sentNanos, result);
            EntryCall.this.ended(result);
        }

        /**
         * Tries a second server. If there is none, the caller is told, so that it can go elsewhere;
         * but the calls of a node that leaves get the answers that they can still have.
         */
        private void suspected(int failedProbes) {
            hedged = hedged || hedge();
            if (failedProbes >= GIVE_UP_PROBES
                    && running.size() == 1
                    && route.route().idempotent()
                    && !calls.leaving()) {
                job.cancel();
                ended(OwnerResult.unknown("peer-silent", null));
            }
        }

        void cancel() {
            running.remove(this);
            calls.placement().ended(used, route, 0, null);
            job.cancel();
        }
    }
}
