package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Admission control and forwarding for the backend server on this VM. Since no other process can
 * reach the backend server, this class alone assigns its slots, orders waiting calls, drains it,
 * and determines whether a call can be reported as "not run". Must be used on the event loop.
 */
public final class OwnerCalls {
    private static final int MISDIRECTED = 421;

    /**
     * Extra time after the deadline for the answer of the backend server, which ends a call by
     * itself at the deadline.
     */
    private static final long DEADLINE_GRACE_MILLIS = 100;

    /** Connect timeout for a process on the same VM. */
    private static final int CONNECT_MILLIS = 250;

    /**
     * Longest idle time after which a GET reuses a connection; after that, the server may have
     * closed it.
     */
    private static final int MAX_IDLE_MILLIS = 5_000;

    /** Like {@link #MAX_IDLE_MILLIS}, for other requests, which may not be safe to retry. */
    private static final int MAX_IDLE_NON_GET_MILLIS = 1_000;

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
    private final SlotQueue<OwnerJob> queue = new SlotQueue<>();
    private final Set<Run> running = new HashSet<>();
    private final SlotReservation reservation = new SlotReservation();
    private final RunTimes runTimes = new RunTimes();
    private final LocalServerLimit limit;
    private Runnable misdirected = () -> {};
    private long runningNanos;
    private long downUntilNanos;
    private long backOffNanos = MIN_BACK_OFF_NANOS;
    private @Nullable String refusalReason;

    /**
     * Creates the admission control of the local backend server.
     *
     * @param servers returns the state of the backend server, or null if there is none
     */
    public OwnerCalls(
            PooledHttpClient client,
            HeaderNames names,
            Clock clock,
            CallCounters counters,
            Supplier<@Nullable LocalServer> servers) {
        this.client = client;
        this.names = names;
        this.clock = clock;
        this.counters = counters;
        this.servers = servers;
        this.limit = new LocalServerLimit(counters);
        this.downUntilNanos = clock.nanos();
    }

    /**
     * Sets the action to run when the server answers 421, that is, when another backend server has
     * taken over the address.
     */
    public void onMisdirected(Runnable action) {
        misdirected = action;
    }

    /** Refuses all waiting and all further calls with the given reason. */
    public void refuse(String reason) {
        refusalReason = reason;
        refuseWaiting(reason);
    }

    /** Refuses the waiting calls with the given reason; later calls are not affected. */
    public void refuseWaiting(String reason) {
        for (OwnerJob job : queue.removeAll()) {
            job.end(OwnerResult.notRun(reason, load()));
        }
    }

    /** Resets the state that belongs to the previous instance of the backend server. */
    public void resetForNewServer() {
        downUntilNanos = clock.nanos();
        backOffNanos = MIN_BACK_OFF_NANOS;
    }

    /** Returns the current load of the backend server. */
    ServerLoad load() {
        LocalServer server = servers.get();
        return new ServerLoad(running.size(), queue.size(), server == null ? 1 : server.slots());
    }

    /** Returns the number of running calls. */
    public int running() {
        return running.size();
    }

    /** Returns the number of waiting calls. */
    public int waiting() {
        return queue.size();
    }

    /** Accepts a call: starts, queues or refuses it. It ends with a result unless cancelled. */
    void accept(OwnerJob job) {
        LocalServer server = servers.get();
        String refusal = refusal(job, server);
        if (refusal != null || server == null) {
            job.end(OwnerResult.notRun(refusal == null ? "no-server" : refusal, load()));
            return;
        }
        long nowNanos = clock.nanos();
        boolean urgent = urgent(job, nowNanos);
        int usableSlots = urgent ? slots(server) : reservation.nonUrgentSlots(slots(server));
        if (running.size() < usableSlots && (urgent || queue.size() == 0)) {
            new Run(job, server).start();
            return;
        }
        SlotQueue.Entry<OwnerJob> entry =
                queue.offer(
                        job,
                        new SlotQueue.CallProfile(
                                job.rankOrder(),
                                urgent,
                                expectedNanos(job),
                                job.targetNanos(),
                                job.deadlineNanos()),
                        usableSlots,
                        runningNanos,
                        nowNanos);
        if (entry == null) {
            counters.increment("owner_full");
            job.end(OwnerResult.notRun("full", load()));
            return;
        }
        job.onCancel(() -> queue.remove(entry));
    }

    private boolean urgent(OwnerJob job, long nowNanos) {
        return reservation.isUrgent(job.rankOrder(), job.routeTargetMillis(), nowNanos);
    }

    private @Nullable String refusal(OwnerJob job, @Nullable LocalServer server) {
        if (server == null) {
            return "no-server";
        }
        if (!server.serverId().equals(job.serverId())) {
            return "other-server";
        }
        if (server.leaving()) {
            return "leaving";
        }
        if (refusalReason != null) {
            return refusalReason;
        }
        return clock.nanos() < downUntilNanos ? "down" : null;
    }

    private static int slots(LocalServer server) {
        return Math.max(1, Math.min(server.slots(), server.settings().maxConnections()));
    }

    private long expectedNanos(OwnerJob job) {
        long fallbackNanos = Math.max(0, job.targetNanos() - clock.nanos()) / 3;
        return runTimes.meanNanos(job.routeName(), fallbackNanos);
    }

    /** Refuses waiting calls that can no longer meet their deadline, then fills free slots. */
    public void dispatchWaiting() {
        long nowNanos = clock.nanos();
        for (OwnerJob job : queue.removeExpired(nowNanos)) {
            counters.increment("owner_too_late");
            job.end(OwnerResult.notRun("too-late", load()));
        }
        while (true) {
            LocalServer server = servers.get();
            if (server == null || running.size() >= slots(server)) {
                return;
            }
            boolean urgentOnly = running.size() >= reservation.nonUrgentSlots(slots(server));
            OwnerJob next = queue.poll(urgentOnly, nowNanos);
            if (next == null) {
                return;
            }
            String refusal = refusal(next, server);
            if (refusal == null) {
                new Run(next, server).start();
            } else {
                next.end(OwnerResult.notRun(refusal, load()));
            }
        }
    }

    /** A running call, which occupies one slot. */
    private final class Run implements ResponseListener {
        private final OwnerJob job;
        private final LocalServer server;
        private final long expectedNanos;
        private final long startNanos = clock.nanos();
        private boolean ended;

        Run(OwnerJob job, LocalServer server) {
            this.job = job;
            this.server = server;
            this.expectedNanos = expectedNanos(job);
        }

        void start() {
            long leftNanos = job.deadlineNanos() - startNanos;
            if (leftNanos < MIN_TIME_LEFT_NANOS) {
                job.end(OwnerResult.notRun("too-late", load()));
                return;
            }
            running.add(this);
            runningNanos += expectedNanos;
            counters.increment("server_requests");
            limit.sent();
            PooledHttpClient.Sending sending =
                    client.send(server.address(), request(leftNanos), this);
            job.onCancel(
                    () -> {
                        sending.cancel();
                        runTimes.abandoned(job.routeName(), clock.nanos() - startNanos);
                        release();
                        dispatchWaiting();
                    });
        }

        private OutboundRequest request(long leftNanos) {
            Exchange exchange = job.exchange();
            HttpHeaders headers = HopHeaders.withKnownNames();
            HopHeaders.copyEndToEnd(exchange.headers(), headers);
            long leftMillis = Math.max(1, leftNanos / 1_000_000L);
            headers.set(names.deadlineMillis(), leftMillis);
            headers.set(names.expectedServer(), server.serverId());
            headers.set(HttpHeaderNames.CONNECTION, "keep-alive");
            return new OutboundRequest(
                    exchange.method(),
                    exchange.target(),
                    headers,
                    exchange.body(),
                    leftMillis + DEADLINE_GRACE_MILLIS,
                    CONNECT_MILLIS,
                    exchange.method().equals("GET") ? MAX_IDLE_MILLIS : MAX_IDLE_NON_GET_MILLIS,
                    names.callId());
        }

        private void release() {
            if (!ended) {
                ended = true;
                running.remove(this);
                runningNanos -= expectedNanos;
            }
        }

        @Override
        public void onResponse(Answer answer) {
            release();
            backOffNanos = MIN_BACK_OFF_NANOS;
            if (answer.status() == MISDIRECTED) {
                counters.increment("server_misdirected");
                misdirected.run();
                job.end(OwnerResult.declined("other-server", load()));
                dispatchWaiting();
                return;
            }
            limit.answered(server.serverId(), ServerNotice.of(answer.headers(), names));
            if (answer.headers().contains(names.notExecuted())) {
                counters.increment("server_declined");
                job.end(OwnerResult.declined("declined", load()));
            } else {
                runTimes.completed(job.routeName(), clock.nanos() - startNanos, answer.status());
                job.end(OwnerResult.ran(answer, load()));
            }
            dispatchWaiting();
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            release();
            counters.increment("server_" + reason.replace('-', '_'));
            if (failure == SendFailure.NOT_SENT) {
                downUntilNanos = clock.nanos() + backOffNanos;
                backOffNanos = Math.min(MAX_BACK_OFF_NANOS, backOffNanos * 2);
                job.end(OwnerResult.notRun("down", load()));
            } else {
                job.end(OwnerResult.unknown(reason, load()));
            }
            dispatchWaiting();
        }
    }
}
