package dev.zinniaring.soak;

import dev.zinniaring.kernel.Clock;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Records what callers, backend servers and the store observed. Times are relative to the start of
 * the run. Thread-safe.
 */
final class Observations {
    /**
     * A call, as its caller observed it.
     *
     * @param node index of the node to which it was sent
     * @param status status of a complete response, or 0 if there was none
     * @param outcome how it ended
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

    /** How a call ended. */
    enum Outcome {
        /** A complete response was received. */
        ANSWERED,
        /** The caller cancelled the call before a response arrived. */
        CALLER_LEFT,
        /** The deadline of the call passed. */
        DEADLINE,
        /** The connection could not be opened. */
        NO_CONNECTION,
        /** The connection was closed before a complete response. */
        CUT
    }

    /** The execution of a request by a backend server. */
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

        /** Returns when the run ended; {@link Long#MAX_VALUE} if it is still in progress. */
        long endMillis() {
            return endMillis;
        }

        void end(long atMillis) {
            endMillis = atMillis;
        }
    }

    /** The acknowledgement by a node that a backend server is leaving. */
    record LeaveAck(String serverId, long atMillis) {}

    /**
     * A period in which a backend server named a limit in its answers.
     *
     * @param fromMillis time of the first answer that named it
     */
    record Limit(String serverId, double perSecond, long fromMillis, long toMillis) {}

    /** The end of a backend server's process, caused by the request with the given path. */
    record End(String path, String serverId, long atMillis) {}

    /**
     * An answer that a backend server sent at the end of a run.
     *
     * @param run name of the run
     * @param send name of the send of a call that it ran
     * @param body whole body
     */
    record SentAnswer(String run, String send, AnswerKind kind, int status, String body) {}

    /**
     * A complete answer that a caller received.
     *
     * @param send name of the send of a call that it answers
     * @param callId id of the call
     * @param tag tag of the run; empty if it has none
     * @param echoedId id of a call that it names; empty if it names none
     */
    record ReceivedAnswer(
            String send, String callId, int status, String tag, String echoedId, String body) {}

    /** A configuration that the store accepted, with the service of {@link Route#MOVING}. */
    record Version(int number, String service, long atMillis) {}

    /**
     * A fault or planned maintenance.
     *
     * @param target index of the affected node, or {@link #ALL}
     */
    record Disturbance(String kind, boolean planned, int target, long fromMillis, long toMillis) {}

    /** Target of a disturbance that affects every node. */
    static final int ALL = -1;

    private final Clock clock;
    private final long startNanos;
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Queue<LeaveAck> leaveAcks = new ConcurrentLinkedQueue<>();
    private final Queue<Limit> limits = new ConcurrentLinkedQueue<>();
    private final Queue<End> ends = new ConcurrentLinkedQueue<>();
    private final Queue<SentAnswer> sentAnswers = new ConcurrentLinkedQueue<>();
    private final Queue<ReceivedAnswer> receivedAnswers = new ConcurrentLinkedQueue<>();
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

    void add(LeaveAck leaveAck) {
        leaveAcks.add(leaveAck);
    }

    void add(Limit limit) {
        limits.add(limit);
    }

    void add(End end) {
        ends.add(end);
    }

    void add(SentAnswer sent) {
        sentAnswers.add(sent);
    }

    void add(ReceivedAnswer received) {
        receivedAnswers.add(received);
    }

    void add(Version version) {
        versions.add(version);
    }

    void add(Disturbance disturbance) {
        disturbances.add(disturbance);
    }

    /** Adds an invariant violation that was detected during the run. */
    void finding(String finding) {
        findings.add("at " + nowMillis() + " ms: " + finding);
    }

    List<Call> calls() {
        return List.copyOf(calls);
    }

    List<Run> runs() {
        return List.copyOf(runs);
    }

    List<LeaveAck> leaveAcks() {
        return List.copyOf(leaveAcks);
    }

    List<Limit> limits() {
        return List.copyOf(limits);
    }

    List<End> ends() {
        return List.copyOf(ends);
    }

    List<SentAnswer> sentAnswers() {
        return List.copyOf(sentAnswers);
    }

    List<ReceivedAnswer> receivedAnswers() {
        return List.copyOf(receivedAnswers);
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
