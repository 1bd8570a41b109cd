package dev.zinniaring.soak;

import dev.zinniaring.kernel.Clock;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** What callers, backend servers and the store saw. Times are counted from the start of the run. */
final class Observations {
    /**
     * A call, from its caller's side.
     *
     * @param node index of the node that took it
     * @param status status of a whole answer, or 0 if there was none
     * @param outcome what ended it
     */
    record Call(
            String id,
            int node,
            Route route,
            long sentMillis,
            long endedMillis,
            long deadlineMillis,
            int status,
            String body,
            Outcome outcome) {}

    /** What ended a call. */
    enum Outcome {
        /** A whole answer. */
        ANSWERED,
        /** The caller left before an answer came. */
        CALLER_LEFT,
        /** The caller's deadline passed. */
        DEADLINE,
        /** No connection could be opened. */
        NO_CONNECTION,
        /** The connection ended without a whole answer. */
        CUT
    }

    /** A run at a backend server: it began to work on a request. */
    static final class Run {
        private final String callId;
        private final String serverId;
        private final String service;
        private final long startMillis;
        private volatile long endMillis = Long.MAX_VALUE;

        Run(String callId, String serverId, String service, long startMillis) {
            this.callId = callId;
            this.serverId = serverId;
            this.service = service;
            this.startMillis = startMillis;
        }

        String callId() {
            return callId;
        }

        String serverId() {
            return serverId;
        }

        String service() {
            return service;
        }

        long startMillis() {
            return startMillis;
        }

        /** Returns when the run ended; {@link Long#MAX_VALUE} if it goes on. */
        long endMillis() {
            return endMillis;
        }

        void end(long atMillis) {
            endMillis = atMillis;
        }
    }

    /** A node has acknowledged that a server leaves. */
    record Leaving(String serverId, long atMillis) {}

    /** The store has acknowledged a configuration; its route to move goes to this service. */
    record Version(int number, String service, long atMillis) {}

    /**
     * A fault, or planned work.
     *
     * @param target index of the node that is affected, or {@link #ALL}
     */
    record Disturbance(String kind, boolean planned, int target, long fromMillis, long toMillis) {}

    /** Target of a disturbance that affects every node. */
    static final int ALL = -1;

    private final Clock clock;
    private final long startNanos;
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Queue<Leaving> leavings = new ConcurrentLinkedQueue<>();
    private final Queue<Version> versions = new ConcurrentLinkedQueue<>();
    private final Queue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();
    private final Queue<String> findings = new ConcurrentLinkedQueue<>();

    Observations(Clock clock) {
        this.clock = clock;
        this.startNanos = clock.nanos();
    }

    /** Returns the time since the start of the run. */
    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanos() - startNanos);
    }

    void add(Call call) {
        calls.add(call);
    }

    void add(Run run) {
        runs.add(run);
    }

    void add(Leaving leaving) {
        leavings.add(leaving);
    }

    void add(Version version) {
        versions.add(version);
    }

    void add(Disturbance disturbance) {
        disturbances.add(disturbance);
    }

    /** Adds a broken promise that was seen while the run went on. */
    void finding(String finding) {
        findings.add("at " + nowMillis() + " ms: " + finding);
    }

    List<Call> calls() {
        return List.copyOf(calls);
    }

    List<Run> runs() {
        return List.copyOf(runs);
    }

    List<Leaving> leavings() {
        return List.copyOf(leavings);
    }

    List<Version> versions() {
        return List.copyOf(versions);
    }

    List<Disturbance> disturbances() {
        return List.copyOf(disturbances);
    }

    List<String> findings() {
        return List.copyOf(findings);
    }
}
