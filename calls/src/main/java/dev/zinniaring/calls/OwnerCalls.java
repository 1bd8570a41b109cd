package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Runs calls at the backend server beside this node, which no other process can reach: slots,
 * order, drain and the truth of "not run" are decided here. Runs on the event loop.
 */
public final class OwnerCalls {
    private static final int MISDIRECTED = 421;

    /** The backend server answers by itself at the deadline; it gets this much longer to do so. */
    private static final long DEADLINE_GRACE_MILLIS = 100;

    /** Longest time to connect to a process of the same VM. */
    private static final int CONNECT_MILLIS = 250;

    /** A kept connection that was idle for longer may have been dropped by the other side. */
    private static final int MAX_IDLE_MILLIS = 5_000;

    /** The same for requests that cannot be repeated. */
    private static final int MAX_IDLE_ONCE_MILLIS = 1_000;

    private static final long MIN_DOWN_NANOS = 100_000_000L;
    private static final long MAX_DOWN_NANOS = 1_000_000_000L;
    private static final long MIN_LEFT_NANOS = 5_000_000L;

    private final HttpSender sender;
    private final HeaderNames names;
    private final Clock clock;
    private final CallCounters counters;
    private final Supplier<@Nullable LocalServer> servers;
    private final SlotQueue<OwnerJob> queue = new SlotQueue<>();
    private final Set<Run> running = new HashSet<>();
    private final SlotReservation reservation = new SlotReservation();
    private final RunTimes runTimes = new RunTimes();
    private Runnable misdirected = () -> {};
    private long runningNanos;
    private long downUntilNanos;
    private long downNanos = MIN_DOWN_NANOS;
    private @Nullable String refusing;

    /**
     * Creates the calls of a backend server.
     *
     * @param servers returns what is known of the backend server, or null if nothing is
     */
    public OwnerCalls(
            HttpSender sender,
            HeaderNames names,
            Clock clock,
            CallCounters counters,
            Supplier<@Nullable LocalServer> servers) {
        this.sender = sender;
        this.names = names;
        this.clock = clock;
        this.counters = counters;
        this.servers = servers;
        this.downUntilNanos = clock.nanos();
    }

    /** Sets what is done when another backend server answers at the address. */
    public void onMisdirected(Runnable action) {
        misdirected = action;
    }

    /** Refuses every call that has not begun, from now on, for the given reason. */
    public void refuse(String reason) {
        refusing = reason;
        refuseWaiting(reason);
    }

    /** Refuses the calls that wait. */
    public void refuseWaiting(String reason) {
        for (OwnerJob job : queue.removeAll()) {
            job.end(OwnerResult.notRun(reason, load()));
        }
    }

    /** Forgets what was learnt about an earlier life of the backend server. */
    public void serverReplaced() {
        downUntilNanos = clock.nanos();
        downNanos = MIN_DOWN_NANOS;
        refusing = null;
    }

    /** Returns how busy the backend server is. */
    ServerLoad load() {
        LocalServer server = servers.get();
        return new ServerLoad(running.size(), queue.size(), server == null ? 1 : server.slots());
    }

    /** Returns the number of calls that run. */
    public int running() {
        return running.size();
    }

    /** Returns the number of calls that wait. */
    public int waiting() {
        return queue.size();
    }

    /** Takes a call; it ends with a result, unless it is cancelled before. */
    void accept(OwnerJob job) {
        LocalServer server = servers.get();
        String refusal = refusal(job, server);
        if (refusal != null || server == null) {
            job.end(OwnerResult.notRun(refusal == null ? "no-server" : refusal, load()));
            return;
        }
        long nowNanos = clock.nanos();
        boolean urgent = urgent(job, nowNanos);
        int usable = urgent ? slots(server) : reservation.commonSlots(slots(server));
        if (running.size() < usable && (urgent || queue.size() == 0)) {
            new Run(job, server).start();
            return;
        }
        SlotQueue.Entry<OwnerJob> entry =
                queue.offer(
                        job,
                        new SlotQueue.Demand(
                                job.rankOrder(),
                                urgent,
                                expectedNanos(job),
                                job.targetNanos(),
                                job.deadlineNanos()),
                        usable,
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
        if (refusing != null) {
            return refusing;
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

    /** Starts waiting calls while there are free slots, and refuses those that are too late. */
    public void pump() {
        long nowNanos = clock.nanos();
        for (OwnerJob job : queue.removeHopeless(nowNanos)) {
            counters.increment("owner_too_late");
            job.end(OwnerResult.notRun("too-late", load()));
        }
        while (true) {
            LocalServer server = servers.get();
            if (server == null || running.size() >= slots(server)) {
                return;
            }
            boolean urgentOnly = running.size() >= reservation.commonSlots(slots(server));
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

    /** One call in a slot. */
    private final class Run implements SendListener {
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
            if (leftNanos < MIN_LEFT_NANOS) {
                job.end(OwnerResult.notRun("too-late", load()));
                return;
            }
            running.add(this);
            runningNanos += expectedNanos;
            counters.increment("server_requests");
            HttpSender.Sending sending = sender.send(server.address(), request(leftNanos), this);
            job.onCancel(
                    () -> {
                        sending.cancel();
                        runTimes.abandoned(job.routeName(), clock.nanos() - startNanos);
                        leave();
                        pump();
                    });
        }

        private Outbound request(long leftNanos) {
            Exchange exchange = job.exchange();
            HttpHeaders headers = new DefaultHttpHeaders();
            HopHeaders.copyEndToEnd(exchange.headers(), headers);
            long leftMillis = Math.max(1, leftNanos / 1_000_000L);
            headers.set(names.deadlineMillis(), leftMillis);
            headers.set(names.expectedServer(), server.serverId());
            headers.set(HttpHeaderNames.CONNECTION, "keep-alive");
            return new Outbound(
                    exchange.method(),
                    exchange.target(),
                    headers,
                    exchange.body(),
                    leftMillis + DEADLINE_GRACE_MILLIS,
                    CONNECT_MILLIS,
                    exchange.method().equals("GET") ? MAX_IDLE_MILLIS : MAX_IDLE_ONCE_MILLIS,
                    names.callId());
        }

        private void leave() {
            if (!ended) {
                ended = true;
                running.remove(this);
                runningNanos -= expectedNanos;
            }
        }

        @Override
        public void answered(Answer answer) {
            leave();
            downNanos = MIN_DOWN_NANOS;
            if (answer.status() == MISDIRECTED) {
                counters.increment("server_misdirected");
                misdirected.run();
                job.end(OwnerResult.declined("other-server", load()));
            } else if (answer.headers().contains(names.notExecuted())) {
                counters.increment("server_declined");
                job.end(OwnerResult.declined("declined", load()));
            } else {
                runTimes.ran(job.routeName(), clock.nanos() - startNanos, answer.status());
                job.end(OwnerResult.ran(answer, load()));
            }
            pump();
        }

        @Override
        public void failed(SendFailure failure, String reason) {
            leave();
            counters.increment("server_" + reason.replace('-', '_'));
            if (failure == SendFailure.NOT_SENT) {
                downUntilNanos = clock.nanos() + downNanos;
                downNanos = Math.min(MAX_DOWN_NANOS, downNanos * 2);
                job.end(OwnerResult.notRun("down", load()));
            } else {
                job.end(OwnerResult.unknown(reason, load()));
            }
            pump();
        }
    }
}
