package dev.zinniaring.node;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.Tables;
import dev.zinniaring.routing.RouteMatch;
import dev.zinniaring.routing.RoutingTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the calls of callers: matches the route, sheds early, chooses a backend server, retries
 * and relays the response.
 */
final class EntryCalls implements CallListener.CallHandler {
    private static final Logger log = LoggerFactory.getLogger(EntryCalls.class);
    private static final String NO_RANK = "none";

    private final Routes routes;
    private final CallContextFactory contexts;
    private final CallLimiter limiter;
    private final RetryingDispatcher dispatcher;
    private final KeyedCalls keyed;
    private final ResponseRelay relay;
    private final CallMetrics metrics;
    private final Clock clock;
    private volatile boolean draining;

    EntryCalls(EntryCallsDependencies dependencies) {
        routes = dependencies.routes();
        contexts = new CallContextFactory(dependencies.clock());
        limiter = new CallLimiter(dependencies.limits().maxConcurrentCalls());
        dispatcher = dependencies.dispatcher();
        keyed = dependencies.keyed();
        relay = dependencies.relay();
        metrics = dependencies.metrics();
        clock = dependencies.clock();
    }

    void drain() {
        draining = true;
    }

    int calls() {
        return limiter.calls();
    }

    @Override
    public void handle(Exchange exchange) {
        long startNanos = clock.nanos();
        Progress progress = new Progress();
        try {
            serve(exchange, progress);
            metrics.answered(progress.rank, Outcome.RAN, clock.nanos() - startNanos);
        } catch (CallException e) {
            metrics.refused(progress.rank, e, clock.nanos() - startNanos);
            exchange.respond(e);
        } catch (RuntimeException e) {
            log.error("internal error while handling a call", e);
            CallException refusal = CallException.unknown(502, "internal");
            metrics.refused(progress.rank, refusal, clock.nanos() - startNanos);
            exchange.respond(refusal);
        }
    }

    private void serve(Exchange exchange, Progress progress) throws CallException {
        if (draining) {
            throw CallException.notRun(503, "draining");
        }
        RoutingTable table =
                routes.current().orElseThrow(() -> CallException.notRun(503, "not-ready"));
        RouteMatch match =
                table.match(exchange.host(), exchange.path(), exchange.method())
                        .orElseThrow(() -> CallException.notRun(404, "no-route"));
        Tables tables = table.version().tables();
        CallContext call = contexts.forEntry(exchange, match, tables);
        progress.rank = call.rank();
        exchange.responseHeaders().put(CallHeaders.CALL_ID, call.callId());
        PoolState pool = routes.pool(match.pool().pool());
        if (pool.shedder().shouldShed(call.rankOrder())) {
            throw CallException.notRun(503, "shed");
        }
        limiter.acquire(call.rankOrder(), tables);
        try {
            if (call.body().fullyRead()) {
                exchange.bodyRead();
            }
            dispatch(call, match, pool);
        } finally {
            limiter.release();
        }
    }

    private void dispatch(CallContext call, RouteMatch match, PoolState pool) throws CallException {
        if (call.key() != null) {
            keyed.handle(call, match, pool);
            return;
        }
        HopResponse hopResponse = dispatcher.run(call, match, pool);
        call.exchange().responseHeaders().put(CallHeaders.OUTCOME, Outcome.RAN.headerValue());
        relay.relay(call, hopResponse);
    }

    /** Data of a call that is needed for the metrics if it fails. */
    private static final class Progress {
        private String rank = NO_RANK;
    }
}
