package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Handles calls that entry nodes on other VMs forward to the backend server on this VM. This is the
 * receiving side of {@link PeerSender}.
 */
public final class PeerCalls implements ExchangeHandler {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;

    /** Deadline for a call that arrives without one. */
    private static final long DEFAULT_DEADLINE_MILLIS = 60_000;

    private final OwnerCalls owner;
    private final HeaderNames names;

    /** Creates a handler that passes calls from other nodes to {@code owner}. */
    public PeerCalls(OwnerCalls owner, HeaderNames names) {
        this.owner = owner;
        this.names = names;
    }

    /** Returns whether a request is a call forwarded by another node. */
    public static boolean isCall(Exchange exchange) {
        return exchange.headers().contains(HopHeaders.OWNER_HOP);
    }

    @Override
    public boolean queued(Exchange exchange) {
        return true;
    }

    @Override
    public void handle(Exchange exchange) {
        HttpHeaders headers = exchange.headers();
        long leftMillis =
                HopHeaders.number(headers, names.deadlineMillis(), DEFAULT_DEADLINE_MILLIS);
        long targetMillis = HopHeaders.number(headers, HopHeaders.TARGET, leftMillis);
        long arrivedNanos = exchange.arrivedNanos();
        OwnerJob job =
                new OwnerJob(
                        headers.get(HopHeaders.OWNER_HOP, ""),
                        exchange,
                        headers.get(names.callId(), ""),
                        headers.get(HopHeaders.ROUTE, ""),
                        HopHeaders.number(headers, HopHeaders.ROUTE_TARGET, leftMillis),
                        (int) HopHeaders.number(headers, HopHeaders.RANK, 0),
                        arrivedNanos + leftMillis * 1_000_000L,
                        arrivedNanos + targetMillis * 1_000_000L,
                        result -> exchange.answer(encode(result)));
        String knownLimit = headers.get(HopHeaders.KNOWN_LIMIT);
        if (knownLimit != null) {
            ServerNotice.parseLimit(knownLimit).ifPresent(job::knownLimitPerSecond);
        }
        job.identify(CallFingerprint.of(exchange, names), SuspectHeader.read(headers));
        job.firstPlacement(headers.contains(HopHeaders.FIRST_PLACEMENT));
        job.ofAccount(headers.contains(names.account()));
        exchange.onCancel(job::cancel);
        owner.accept(job);
    }

    private static Answer encode(OwnerResult result) {
        HttpHeaders headers = HopHeaders.withKnownNames();
        headers.set(HopHeaders.OUTCOME, result.outcome().headerValue());
        ServerLoad load = result.load();
        if (load != null) {
            headers.set(HopHeaders.LOAD, load.encode());
        }
        SuspectHeader.write(headers, result.suspect());
        Answer answer = result.answer();
        if (answer != null) {
            HopHeaders.copyEndToEnd(answer.headers(), headers);
            return new Answer(answer.status(), headers, answer.body());
        }
        headers.set(HopHeaders.REASON, result.reason());
        int status =
                result.outcome() == OwnerResult.Outcome.UNKNOWN ? BAD_GATEWAY : SERVICE_UNAVAILABLE;
        return new Answer(status, headers, new byte[0]);
    }

    /** Decodes an answer that {@link #encode} has encoded on the owner node. */
    static OwnerResult decode(Answer answer) {
        OwnerResult.Outcome outcome =
                OwnerResult.Outcome.of(answer.headers().get(HopHeaders.OUTCOME));
        ServerLoad load = ServerLoad.decode(answer.headers().get(HopHeaders.LOAD));
        if (outcome == OwnerResult.Outcome.RAN) {
            return OwnerResult.ran(answer, load);
        }
        String reason = answer.headers().get(HopHeaders.REASON, "no-reason");
        return new OwnerResult(outcome, reason, null, load, SuspectHeader.read(answer.headers()));
    }
}
