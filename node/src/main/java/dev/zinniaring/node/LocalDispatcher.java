package dev.zinniaring.node;

import dev.zinniaring.admission.CallInfo;
import dev.zinniaring.admission.CallerHeaders;
import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.Fingerprints;
import dev.zinniaring.admission.Permit;
import dev.zinniaring.admission.RunOutcome;
import dev.zinniaring.calls.ServerNotice;
import dev.zinniaring.kernel.Clock;
import java.util.ArrayList;
import java.util.List;
import okhttp3.Request;
import okhttp3.Response;
import org.eclipse.jetty.http.HttpField;
import org.jspecify.annotations.Nullable;

/**
 * Runs calls on the local backend servers. Their admission controllers make the final decision on
 * each call; entry nodes only shed early, from the pressure last reported to them.
 */
final class LocalDispatcher {
    private static final int OVERLOADED = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SWITCHING_PROTOCOLS = 101;

    private final LocalServers servers;
    private final CrashGuard guard;
    private final SuspectIsolator isolator;
    private final HopClient client;
    private final Clock clock;
    private final CrashProbe probe;

    LocalDispatcher(
            LocalServers servers,
            CrashGuard guard,
            HopClient client,
            CrashProbe probe,
            Clock clock) {
        this.servers = servers;
        this.guard = guard;
        this.isolator = new SuspectIsolator(guard, clock);
        this.client = client;
        this.clock = clock;
        this.probe = probe;
    }

    /**
     * Runs a call and returns the backend server's response, with its body unread.
     *
     * @throws CallException if there is no response; its outcome is {@code not-run} only if no byte
     *     was sent
     */
    HopResponse run(CallContext call, String serverId) throws CallException {
        LocalServer server = servers.find(serverId);
        if (server == null) {
            throw CallException.notRun(503, "no-server");
        }
        long fingerprint = fingerprint(call);
        checkGuard(fingerprint);
        Permit permit =
                AdmissionWait.admit(
                        server.admission(),
                        new CallInfo(call.rankOrder(), call.deadlineNanos()),
                        call.deadlineNanos() - clock.nanos(),
                        call.exchange().cancellation());
        Run run = new Run(server, permit, fingerprint);
        try {
            checkGuard(fingerprint);
            long leftNanos = call.deadlineNanos() - clock.nanos();
            Request request = HopRequests.of(call, server.target(), leftNanos).build();
            return run.send(call, request, leftNanos);
        } catch (CallException | RuntimeException e) {
            permit.release(RunOutcome.CANCELLED, 0);
            throw e;
        }
    }

    @Nullable LocalServer find(String serverId) {
        return servers.find(serverId);
    }

    /** Reports the load of a local backend server in the form in which other nodes receive it. */
    void report(String serverId, LoadReport report) {
        LocalServer server = servers.find(serverId);
        if (server != null) {
            report.read(server.load(), server.pressure());
        }
    }

    private void checkGuard(long fingerprint) throws CallException {
        probe.awaitResults(fingerprint);
        if (guard.verdict(fingerprint) == CrashGuard.Verdict.HOLD) {
            throw CallException.notRun(503, "crashes-servers");
        }
    }

    private static long fingerprint(CallContext call) {
        Exchange exchange = call.exchange();
        String key = call.key();
        return key == null
                ? Fingerprints.ofCaller(
                        call.route(),
                        exchange.method(),
                        exchange.target(),
                        caller(exchange),
                        call.body().start())
                : Fingerprints.ofKey(call.route(), exchange.method(), exchange.target(), key);
    }

    /** Returns the headers that tell callers of the same request apart. */
    private static List<String> caller(Exchange exchange) {
        List<String> lines = new ArrayList<>();
        for (HttpField field : exchange.headers()) {
            if (CallHeaders.forwarded(field.getName())
                    && CallerHeaders.identifyCaller(field.getName())) {
                lines.add(field.getName() + ":" + field.getValue());
            }
        }
        return lines;
    }

    /** The run of one admitted call. */
    private final class Run {
        private final LocalServer server;
        private final Permit permit;
        private final long fingerprint;
        private final long startNanos = clock.nanos();

        Run(LocalServer server, Permit permit, long fingerprint) {
            this.server = server;
            this.permit = permit;
            this.fingerprint = fingerprint;
        }

        HopResponse send(CallContext call, Request request, long leftNanos) throws CallException {
            CrashGuard.Run guarded = isolator.awaitAndStart(server, fingerprint, leftNanos);
            HopResponse hopResponse;
            try {
                hopResponse = client.send(request, leftNanos, call.exchange().cancellation());
            } catch (HopException e) {
                throw failed(e, guarded);
            }
            Response response = hopResponse.httpResponse();
            hopResponse.onEnd(end -> ended(end, response.code(), guarded));
            servers.answered(
                    server,
                    ServerNotice.of(
                            response.header(CallHeaders.SERVER_LIMIT),
                            response.header(CallHeaders.SERVER_LEAVING)));
            check(call, hopResponse);
            return hopResponse;
        }

        private void check(CallContext call, HopResponse hopResponse) throws CallException {
            String fault = null;
            if (hopResponse.httpResponse().code() == SWITCHING_PROTOCOLS) {
                fault = "bad-answer";
            } else if (!hopResponse.framed(call.exchange().method())) {
                fault = "unframed-answer";
            }
            if (fault != null) {
                hopResponse.end(HopResponse.End.DISCARDED);
                throw CallException.unknown(502, fault);
            }
        }

        private void ended(HopResponse.End end, int status, CrashGuard.Run guarded) {
            switch (end) {
                case COMPLETE -> {
                    guarded.completed();
                    permit.release(outcome(status), elapsedNanos());
                }
                case BROKEN -> {
                    guarded.failed();
                    permit.release(RunOutcome.FAILED, elapsedNanos());
                    probe.connectionBroken(server, fingerprint);
                }
                default -> {
                    guarded.failed();
                    permit.release(RunOutcome.CANCELLED, elapsedNanos());
                }
            }
        }

        private static RunOutcome outcome(int status) {
            return status == OVERLOADED || status == TOO_MANY_REQUESTS
                    ? RunOutcome.OVERLOADED
                    : RunOutcome.COMPLETED;
        }

        private CallException failed(HopException e, CrashGuard.Run guarded) {
            return switch (e.kind()) {
                case NOT_SENT -> {
                    guarded.notSent();
                    permit.release(RunOutcome.CANCELLED, elapsedNanos());
                    yield CallException.notRun(503, "connect-failed");
                }
                case BROKEN -> {
                    guarded.failed();
                    permit.release(RunOutcome.FAILED, elapsedNanos());
                    probe.connectionBroken(server, fingerprint);
                    yield CallException.unknown(502, "broken");
                }
                case FOREIGN -> {
                    guarded.failed();
                    permit.release(RunOutcome.CANCELLED, elapsedNanos());
                    yield CallException.unknown(502, "crossed-answer");
                }
                case TIMED_OUT -> {
                    guarded.failed();
                    permit.release(RunOutcome.OVERLOADED, elapsedNanos());
                    yield CallException.unknown(504, "deadline");
                }
                case CANCELLED -> {
                    guarded.failed();
                    permit.release(RunOutcome.CANCELLED, elapsedNanos());
                    yield CallException.unknown(502, "cancelled");
                }
                case BAD_BODY -> {
                    guarded.failed();
                    permit.release(RunOutcome.CANCELLED, elapsedNanos());
                    yield CallException.unknown(badBodyStatus(e), "bad-body");
                }
            };
        }

        private long elapsedNanos() {
            return clock.nanos() - startNanos;
        }
    }

    private static int badBodyStatus(HopException e) {
        return e.getCause() instanceof BodyException body ? body.status() : 400;
    }
}
