package dev.zinniaring.node;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import okhttp3.Request;
import okhttp3.Response;

/** Sends calls to the node that the chosen backend server is local to. */
final class PeerDispatcher {
    private final HopClient client;
    private final Clock clock;

    PeerDispatcher(HopClient client, Clock clock) {
        this.client = client;
        this.clock = clock;
    }

    /**
     * Sends a call and returns the backend server's response, with its body unread.
     *
     * @param report receives the backend server's load as reported by the node
     * @throws CallException if there is no response of a backend server
     */
    HopResponse run(CallContext call, EndpointRecord server, LoadReport report)
            throws CallException {
        long leftNanos = call.deadlineNanos() - clock.nanos();
        Request request =
                HopRequests.of(call, server.callAddress(), leftNanos)
                        .header(CallHeaders.OWNER_HOP, server.serverId())
                        .build();
        HopResponse hopResponse;
        try {
            hopResponse = client.send(request, leftNanos, call.exchange().cancellation());
        } catch (HopException e) {
            throw refusal(e);
        }
        report.read(hopResponse.httpResponse());
        check(call, hopResponse);
        return hopResponse;
    }

    private static void check(CallContext call, HopResponse hopResponse) throws CallException {
        Response response = hopResponse.httpResponse();
        Outcome outcome = Outcome.of(response.header(CallHeaders.OUTCOME));
        if (outcome != Outcome.RAN) {
            String reason = response.header(CallHeaders.REASON, "unknown");
            hopResponse.end(HopResponse.End.COMPLETE);
            throw outcome == Outcome.NOT_RUN
                    ? CallException.notRun(response.code(), reason)
                    : CallException.unknown(response.code(), reason);
        }
        if (!call.callId().equals(response.header(CallHeaders.CALL_ID))
                || !hopResponse.framed(call.exchange().method())) {
            hopResponse.end(HopResponse.End.DISCARDED);
            throw CallException.unknown(502, "crossed-answer");
        }
    }

    private static CallException refusal(HopException e) {
        return switch (e.kind()) {
            case NOT_SENT -> CallException.notRun(503, "node-unreachable");
            case BROKEN -> CallException.unknown(502, "broken");
            case FOREIGN -> CallException.unknown(502, "crossed-answer");
            case TIMED_OUT -> CallException.unknown(504, "deadline");
            case CANCELLED -> CallException.unknown(502, "cancelled");
            case BAD_BODY -> {
                int status = e.getCause() instanceof BodyException body ? body.status() : 400;
                yield CallException.unknown(status, "bad-body");
            }
        };
    }
}
