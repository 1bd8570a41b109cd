package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Tells which connection carried which call, and what came back from the backend server: counts and
 * logs what is out of the ordinary, and keeps the latest runs for the dump of the node's state.
 * Must be used on the event loop.
 */
final class RunLog {
    /** Runs that are kept: some seconds of a busy server, at about 150 bytes each. */
    static final int MAX_RUNS = 256;

    private final Clock clock;
    private final CallCounters counters;
    private final CallLog log;
    private final Deque<Run> latest = new ArrayDeque<>();

    /**
     * One run of a call.
     *
     * @param endedAt time at which the answer or the failure arrived
     * @param callId id of the call
     * @param connection number of the connection that carried the call, 0 if none did
     * @param requests requests that the connection had carried, this one included
     * @param dropped answers that were dropped while the call waited
     * @param outcome status of the answer, or the reason of the failure
     */
    record Run(
            Instant endedAt,
            String callId,
            long connection,
            int requests,
            int dropped,
            String outcome) {}

    RunLog(Clock clock, CallCounters counters, CallLog log) {
        this.clock = clock;
        this.counters = counters;
        this.log = log;
    }

    /** Starts to trace a run. */
    Tracer start(OwnerJob job, String serverId) {
        return new Tracer(job, serverId);
    }

    /** Records an answer that arrived behind that of the last call on its connection. */
    void unrequested(DroppedAnswer answer) {
        logDropped(answer.lastId(), "", answer);
    }

    /** Returns the latest runs, oldest first. */
    List<Run> latest() {
        return List.copyOf(latest);
    }

    private void add(Run run) {
        if (latest.size() == MAX_RUNS) {
            latest.poll();
        }
        latest.add(run);
    }

    private void logDropped(String callId, String routeName, DroppedAnswer answer) {
        counters.increment("server_answers_" + answer.reason());
        log.logDecision(
                "dropped-answer",
                callId,
                routeName,
                "reason",
                answer.reason(),
                "echoed",
                answer.echoedId(),
                "status",
                answer.status(),
                "connection",
                answer.connection(),
                "requests",
                answer.requests());
    }

    /** Traces one run. */
    final class Tracer {
        private final OwnerJob job;
        private final String serverId;
        private final long startNanos = clock.nanos();
        private long connection;
        private int requests;
        private boolean idCarried;
        private int dropped;

        private Tracer(OwnerJob job, String serverId) {
            this.job = job;
            this.serverId = serverId;
        }

        /** Records that the call is about to be sent; see {@link ResponseListener#onSend}. */
        void sent(long onConnection, int requestsSoFar, boolean idCarriedBefore) {
            connection = onConnection;
            requests = requestsSoFar;
            idCarried = idCarriedBefore;
            if (idCarried) {
                counters.increment("server_id_again");
            }
        }

        /** Records an answer that was dropped while the call waited. */
        void dropped(DroppedAnswer answer) {
            dropped++;
            logDropped(job.callId(), job.routeName(), answer);
        }

        /** Records the answer; logs it if it was not the first one, or the id not new. */
        void answered(int status) {
            String outcome = "status-" + status;
            if (idCarried || dropped > 0) {
                log("answer-taken", outcome);
            }
            end(outcome);
        }

        /** Records that the call was cancelled, for example because its caller has left. */
        void cancelled() {
            end("cancelled");
        }

        /** Records and logs a failure. */
        void failed(String reason) {
            log("run-failed", reason);
            end(reason);
        }

        private void end(String outcome) {
            add(new Run(clock.now(), job.callId(), connection, requests, dropped, outcome));
        }

        private void log(String decision, String outcome) {
            log.logDecision(
                    decision,
                    job.callId(),
                    job.routeName(),
                    "outcome",
                    outcome,
                    "server",
                    serverId,
                    "connection",
                    connection,
                    "requests",
                    requests,
                    "dropped",
                    dropped,
                    "id_again",
                    idCarried,
                    "age_ms",
                    (clock.nanos() - startNanos) / 1_000_000L);
        }
    }
}
