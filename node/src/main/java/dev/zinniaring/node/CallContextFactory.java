package dev.zinniaring.node;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Tables;
import dev.zinniaring.routing.RouteMatch;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/** Creates the context of a call from the headers of its request. */
final class CallContextFactory {
    /** Maximum depth of a chain of calls. */
    static final int MAX_DEPTH = 28;

    static final int MAX_ID_CHARS = 128;
    private static final int LEAST_URGENT = Integer.MAX_VALUE;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Clock clock;

    CallContextFactory(Clock clock) {
        this.clock = clock;
    }

    /**
     * Creates the context of a call that a caller sent to this node.
     *
     * @throws CallException if it is too deep, too late or malformed
     */
    CallContext forEntry(Exchange exchange, RouteMatch match, Tables tables) throws CallException {
        long deadlineMillis =
                Math.min(
                        match.route().deadlineMillis(),
                        exchange.number(CallHeaders.DEADLINE_MS, Integer.MAX_VALUE));
        String rankName = exchange.header(CallHeaders.RANK);
        Rank known = rankName == null ? null : tables.ranks().get(rankName);
        Rank rank = known == null ? match.rank() : known;
        return checked(
                new CallContext(
                        exchange,
                        exchange.body(),
                        callId(exchange),
                        match.route().name(),
                        rank.name(),
                        rank.order(),
                        smallNumber(exchange, CallHeaders.DEPTH, 0) + 1,
                        Math.max(1, smallNumber(exchange, CallHeaders.ATTEMPT, 1)),
                        clock.nanos() + deadlineMillis * NANOS_PER_MILLI,
                        key(exchange)));
    }

    /**
     * Creates the context of a call that another node sent for a local backend server.
     *
     * @param route the name of the route that matches on this node, or an empty string
     * @throws CallException if it is too deep, too late or malformed
     */
    CallContext forOwner(Exchange exchange, String route, Tables tables) throws CallException {
        String rankName = exchange.header(CallHeaders.RANK);
        Rank known = rankName == null ? null : tables.ranks().get(rankName);
        long deadlineMillis = exchange.number(CallHeaders.DEADLINE_MS, 0);
        return checked(
                new CallContext(
                        exchange,
                        exchange.body(),
                        callId(exchange),
                        route,
                        rankName == null ? "" : rankName,
                        known == null ? LEAST_URGENT : known.order(),
                        smallNumber(exchange, CallHeaders.DEPTH, 0),
                        Math.max(1, smallNumber(exchange, CallHeaders.ATTEMPT, 1)),
                        clock.nanos()
                                + Math.min(deadlineMillis, Integer.MAX_VALUE) * NANOS_PER_MILLI,
                        key(exchange)));
    }

    private CallContext checked(CallContext call) throws CallException {
        if (call.depth() > MAX_DEPTH) {
            throw CallException.notRun(400, "too-deep");
        }
        if (call.deadlineNanos() - clock.nanos() <= 0) {
            throw CallException.notRun(503, "deadline");
        }
        return call;
    }

    private static int smallNumber(Exchange exchange, String header, int fallback) {
        return (int) Math.min(1_000_000, exchange.number(header, fallback));
    }

    private static String callId(Exchange exchange) throws CallException {
        String sent = exchange.header(CallHeaders.CALL_ID);
        if (sent == null || sent.isEmpty()) {
            return newCallId();
        }
        if (sent.length() > MAX_ID_CHARS) {
            throw CallException.notRun(400, "bad-call-id");
        }
        return sent;
    }

    static String newCallId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    private static @Nullable String key(Exchange exchange) throws CallException {
        String key = exchange.header(CallHeaders.IDEMPOTENCY_KEY);
        if (key != null && (key.isEmpty() || key.length() > MAX_ID_CHARS)) {
            throw CallException.notRun(400, "bad-key");
        }
        return key;
    }
}
