package dev.zinniaring.calls;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.RateLimit;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Admission control and forwarding for the backend server on this VM. Since no other process can
 * reach the backend server, this class alone assigns its slots, orders waiting calls, drains it,
 * and determines whether a call can be reported as "not run". Must be used on the event loop.
 */
public final class OwnerCalls {
    private static final int MISDIRECTED = 421;
    private static final String NO_SERVER = "no-server";

    /** Reason of a refusal because the server is slow at the moment. */
    static final String SLOW = "slow";

    private static final String OTHER_SERVER = "other-server";

    /** First back-off after a failure to connect; doubles up to {@link #MAX_BACK_OFF_NANOS}. */
    private static final long MIN_BACK_OFF_NANOS = 100_000_000L;

    private static final long MAX_BACK_OFF_NANOS = 1_000_000_000L;

    /** Minimum time left to the deadline for a call to be started. */
    private static final long MIN_TIME_LEFT_NANOS = 5_000_000L;

    private final PooledHttpClient client;
    private final HeaderNames names;
    private final Clock clock;
    private final CallCounters counters;
    private final Supplier<@Nullable LocalServer> servers;
    private final LocalServerLimit limit;
    private final ServerAdmission<OwnerJob> admission;
    private final CrashWatch crashes;
    private final RunLog runLog;
    private final StopAdmission stop;
    private final SlowMoments slowMoments;
    private final CallLog log;
    private Runnable misdirected = () -> {};
    private Consumer<String> leavingListener = serverId -> {};
    private boolean awaitingLimit;
    private boolean dispatchQueued;
    private long downUntilNanos;
    private long backOffNanos = MIN_BACK_OFF_NANOS;
    private @Nullable String refusalReason;

    /** Creates admission control with a crash guard that shares nothing with other nodes. */
    public OwnerCalls(
            PooledHttpClient client,
            HeaderNames names,
            Clock clock,
            CallCounters counters,
            Supplier<@Nullable LocalServer> servers) {
        this(client, names, clock, counters, servers, CrashGuard.builder().clock(clock).build());
    }

    /**
     * Creates the admission control of the local backend server.
     *
     * @param servers returns the state of the backend server, or null if there is none
     * @param guard holds back requests that crash servers
     */
    public OwnerCalls(
            PooledHttpClient client,
            HeaderNames names,
            Clock clock,
            CallCounters counters,
            Supplier<@Nullable LocalServer> servers,
            CrashGuard guard) {
        this.client = client;
        this.names = names;
        this.clock = clock;
        this.counters = counters;
        this.servers = servers;
        RateLimit rate = new RateLimit(clock);
        this.limit = new LocalServerLimit(rate, counters);
        this.admission = new ServerAdmission<>(clock, rate);
        this.crashes = new CrashWatch(client, guard, counters);
        this.stop = new StopAdmission(clock);
        this.slowMoments = new SlowMoments(clock);
        this.log = new CallLog(clock, counters);
        this.runLog = new RunLog(clock, counters, log);
        this.downUntilNanos = clock.nanos();
    }

    /** Sets the action to run when there are new suspects to send to other nodes. */
    public void onSuspects(Runnable action) {
        crashes.onSuspects(action);
    }

    CrashGuard guard() {
        return crashes.guard();
    }

    /**
     * Sets the action to run when the server answers 421, that is, when another backend server has
     * taken over the address.
     */
    public void onMisdirected(Runnable action) {
        misdirected = action;
    }

    /** Sets the action that receives the id of a server that says in an answer that it leaves. */
    public void onLeaving(Consumer<String> action) {
        leavingListener = action;
    }

    /** Traces the answers that arrive on the client's connections while no call waits. */
    public void observeUnrequestedAnswers() {
        client.onUnrequested(runLog::unrequested);
    }

    /** Returns the latest runs at the server, oldest first, as text. */
    public List<String> latestRuns() {
        return runLog.latest().stream().map(RunLog.Run::toString).toList();
    }

    /**
     * Starts the shutdown: from now on, calls that may outlast the process are refused, also those
     * that wait. Their entry nodes send them to other servers, with the whole time that they have.
     *
     * @param endNanos clock reading at which the process ends
     */
    public void stopAt(long endNanos) {
        stop.stopAt(endNanos);
        for (OwnerJob job : admission.removeIf(waiting -> !stop.fits(waiting.deadlineNanos()))) {
            endNotRun(job, StopAdmission.REASON);
        }
    }

    /** Refuses all waiting and all further calls with the given reason. */
    public void refuse(String reason) {
        refusalReason = reason;
        refuseWaiting(reason);
    }

    /** Refuses the waiting calls with the given reason; later calls are not affected. */
    public void refuseWaiting(String reason) {
        for (OwnerJob job : admission.removeAll()) {
            job.end(OwnerResult.notRun(reason, load()));
        }
    }

    /** Resets the state that belongs to the previous instance of the backend server. */
    public void resetForNewServer() {
        crashes.serverReplaced();
        downUntilNanos = clock.nanos();
        backOffNanos = MIN_BACK_OFF_NANOS;
    }

    /** Records what the backend server said about itself in the answer to a health check. */
    public void serverAnswered(String serverId, ServerNotice notice) {
        limit.setServer(serverId);
        observe(serverId, notice);
    }

    private void observe(String serverId, ServerNotice notice) {
        limit.answered(serverId, notice);
        refuseDelayed();
        if (notice.leaving()) {
            leavingListener.accept(serverId);
        }
    }

    /** Returns the current load of the backend server. */
    ServerLoad load() {
        LocalServer server = servers.get();
        return admission.load(server == null ? 1 : server.slots());
    }

    /** Returns the number of running calls. */
    public int running() {
        return admission.running();
    }

    /** Returns the number of waiting calls. */
    public int waiting() {
        return admission.waiting();
    }

    /** Accepts a call: starts, queues or refuses it. It ends with a result unless cancelled. */
    void accept(OwnerJob job) {
        LocalServer server = servers.get();
        crashes.merge(job);
        String refusal = refusal(job, server);
        if (refusal != null || server == null) {
            endNotRun(job, refusal == null ? NO_SERVER : refusal);
            return;
        }
        limit.setServer(server.serverId());
        limit.reported(job.knownLimitPerSecond());
        if (job.firstPlacement() && slowFor(job)) {
            counters.increment("owner_slow");
            endNotRun(job, SLOW);
            return;
        }
        ServerAdmission.Offer<OwnerJob> offer = admission.offer(job, slots(server));
        SlotQueue.Entry<OwnerJob> entry = offer.entry();
        if (offer.verdict() == ServerAdmission.Verdict.START) {
            new Run(job, server).start();
        } else if (entry == null) {
            refuse(job, offer.verdict());
        } else {
            job.onCancel(() -> admission.remove(entry));
            refuseDelayed();
            awaitLimit();
        }
    }

    private boolean slowFor(OwnerJob job) {
        return slowMoments.shouldGoElsewhere(
                admission.expectedNanos(job), job.targetNanos() - clock.nanos());
    }

    private void refuse(OwnerJob job, ServerAdmission.Verdict verdict) {
        String reason = verdict == ServerAdmission.Verdict.LIMITED ? "limited" : "full";
        counters.increment("owner_" + reason);
        job.end(OwnerResult.notRun(reason, load()));
    }

    /** Refuses waiting calls that the server's limit delays beyond their deadline. */
    private void refuseDelayed() {
        for (OwnerJob job : admission.removeDelayed()) {
            refuse(job, ServerAdmission.Verdict.LIMITED);
        }
    }

    /** Continues with the waiting calls when the server's limit allows the next one. */
    private void awaitLimit() {
        long waitNanos = admission.limitWaitNanos();
        if (waitNanos == 0 || awaitingLimit) {
            return;
        }
        awaitingLimit = true;
        client.loop()
                .schedule(
                        () -> {
                            awaitingLimit = false;
                            dispatchWaiting();
                        },
                        waitNanos,
                        TimeUnit.NANOSECONDS);
    }

    private @Nullable String refusal(OwnerJob job, @Nullable LocalServer server) {
        if (server == null) {
            return NO_SERVER;
        }
        if (!server.serverId().equals(job.serverId())) {
            return OTHER_SERVER;
        }
        if (server.leaving()) {
            return "leaving";
        }
        if (refusalReason != null) {
            return refusalReason;
        }
        if (!stop.fits(job.deadlineNanos())) {
            return StopAdmission.REASON;
        }
        return clock.nanos() < downUntilNanos ? "down" : crashes.refusal(job, server);
    }

    private void endNotRun(OwnerJob job, String reason) {
        if (reason.equals(StopAdmission.REASON)) {
            counters.increment("owner_node_stopping");
            log.logDecision(
                    "not-run",
                    job.callId(),
                    job.routeName(),
                    "reason",
                    reason,
                    "left_ms",
                    (job.deadlineNanos() - clock.nanos()) / 1_000_000L);
        }
        // A load without a limit would make the entry node forget the limit of the server.
        boolean serverKnown = !reason.equals(NO_SERVER) && !reason.equals(OTHER_SERVER);
        job.end(OwnerResult.notRun(reason, serverKnown ? load() : null).with(crashes.suspect(job)));
    }

    private static int slots(LocalServer server) {
        return Math.max(1, Math.min(server.slots(), server.settings().maxConnections()));
    }

    /** Refuses waiting calls that can no longer meet their deadline, then fills free slots. */
    public void dispatchWaiting() {
        for (OwnerJob job : admission.removeExpired()) {
            counters.increment("owner_too_late");
            job.end(OwnerResult.notRun("too-late", load()));
        }
        while (true) {
            LocalServer server = servers.get();
            OwnerJob next = server == null ? null : admission.next(slots(server));
            if (server == null || next == null) {
                awaitLimit();
                return;
            }
            String refusal = refusal(next, server);
            if (refusal == null) {
                new Run(next, server).start();
            } else {
                endNotRun(next, refusal);
            }
        }
    }

    /**
     * Fills free slots once the event loop has read what has arrived, since the callers of waiting
     * calls may have left. The end of a connection is reported by a task of its own, which the loop
     * may add behind the first one here; a scheduled task runs after the loop's next reads.
     */
    private void dispatchSoon() {
        if (!dispatchQueued) {
            dispatchQueued = true;
            client.loop().execute(this::scheduleDispatch);
        }
    }

    private void scheduleDispatch() {
        client.loop().schedule(this::dispatchQueued, 0, TimeUnit.NANOSECONDS);
    }

    private void dispatchQueued() {
        dispatchQueued = false;
        dispatchWaiting();
    }

    /** A running call, which occupies one slot. */
    private final class Run implements ResponseListener {
        private final OwnerJob job;
        private final LocalServer server;
        private final long expectedNanos;
        private final long startNanos = clock.nanos();
        private final RunLog.Tracer tracer;
        private CrashGuard.@Nullable Run guarded;
        private boolean ended;

        Run(OwnerJob job, LocalServer server) {
            this.job = job;
            this.server = server;
            this.tracer = runLog.start(job, server.serverId());
            this.expectedNanos = admission.expectedNanos(job);
        }

        void start() {
            long leftNanos = job.deadlineNanos() - startNanos;
            if (leftNanos < MIN_TIME_LEFT_NANOS) {
                job.end(OwnerResult.notRun("too-late", load()));
                return;
            }
            admission.started(expectedNanos);
            counters.increment("server_requests");
            limit.sent();
            guarded = crashes.callStarted(server, job);
            PooledHttpClient.Sending sending =
                    client.send(
                            server.address(),
                            ServerRequests.of(job, server, leftNanos, names),
                            this);
            job.onCancel(
                    () -> {
                        sending.cancel();
                        tracer.cancelled();
                        guarded(CrashGuard.Run::failed);
                        admission.runTimes().abandoned(job.routeName(), clock.nanos() - startNanos);
                        release();
                        dispatchSoon();
                    });
        }

        private void guarded(Consumer<CrashGuard.Run> end) {
            CrashGuard.Run run = guarded;
            if (run != null) {
                end.accept(run);
            }
        }

        @Override
        public void onSend(long connection, int requests, boolean idCarried) {
            tracer.sent(connection, requests, idCarried);
        }

        @Override
        public void onDropped(DroppedAnswer answer) {
            tracer.dropped(answer);
        }

        private void release() {
            if (!ended) {
                ended = true;
                admission.ended(expectedNanos);
            }
        }

        @Override
        public void onResponse(Answer answer) {
            release();
            tracer.answered(answer.status());
            backOffNanos = MIN_BACK_OFF_NANOS;
            if (answer.status() == MISDIRECTED) {
                counters.increment("server_misdirected");
                guarded(CrashGuard.Run::notSent);
                misdirected.run();
                job.end(OwnerResult.declined(OTHER_SERVER, load()));
                dispatchSoon();
                return;
            }
            observe(server.serverId(), ServerNotice.of(answer.headers(), names));
            slowMoments.answered(NamedLoad.read(answer.headers().get(names.load())));
            if (answer.headers().contains(names.notExecuted())) {
                counters.increment("server_declined");
                guarded(CrashGuard.Run::notSent);
                job.end(OwnerResult.declined("declined", load()));
            } else {
                guarded(CrashGuard.Run::completed);
                admission
                        .runTimes()
                        .completed(job.routeName(), clock.nanos() - startNanos, answer.status());
                job.end(OwnerResult.ran(answer, load()));
            }
            dispatchSoon();
        }

        private void endUnknown(String reason) {
            job.end(OwnerResult.unknown(reason, load()).with(crashes.suspect(job)));
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            release();
            tracer.failed(reason);
            counters.increment("server_" + reason.replace('-', '_'));
            if (failure == SendFailure.NOT_SENT) {
                downUntilNanos = clock.nanos() + backOffNanos;
                backOffNanos = Math.min(MAX_BACK_OFF_NANOS, backOffNanos * 2);
                guarded(CrashGuard.Run::notSent);
                if (reason.equals(PooledHttpClient.CONNECT_FAILED)) {
                    crashes.connectionRefused(server);
                }
                job.end(OwnerResult.notRun("down", load()));
            } else {
                guarded(CrashGuard.Run::failed);
                if (failure == SendFailure.BROKEN) {
                    crashes.connectionBroken(server, () -> endUnknown(reason));
                } else {
                    endUnknown(reason);
                }
            }
            dispatchSoon();
        }
    }
}
