package dev.zinniaring.node;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.Tables;
import dev.zinniaring.routing.RouteMatch;
import dev.zinniaring.routing.RoutingTable;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles the calls that other nodes send to the local backend servers. */
final class OwnerCalls implements CallListener.CallHandler {
    private static final Logger log = LoggerFactory.getLogger(OwnerCalls.class);

    private final Routes routes;
    private final CallContextFactory contexts;
    private final CallLimiter limiter;
    private final LocalDispatcher dispatcher;
    private final KeyHome keys;
    private final ResponseRelay relay;
    private final CallMetrics metrics;
    private volatile boolean draining;

    OwnerCalls(
            Routes routes,
            LocalDispatcher dispatcher,
            KeyHome keys,
            ResponseRelay relay,
            CallMetrics metrics,
            Limits limits,
            Clock clock) {
        this.routes = routes;
        this.contexts = new CallContextFactory(clock);
        this.limiter = new CallLimiter(limits.maxConcurrentCalls());
        this.dispatcher = dispatcher;
        this.keys = keys;
        this.relay = relay;
        this.metrics = metrics;
    }

    void drain() {
        draining = true;
    }

    @Override
    public void handle(Exchange exchange) {
        try {
            if (exchange.header(KeyHome.HEADER) != null) {
                keys.serve(exchange);
                return;
            }
            serve(exchange);
            metrics.ownerAnswered(Outcome.RAN);
        } catch (CallException e) {
            metrics.ownerAnswered(e.outcome());
            exchange.respond(e);
        } catch (RuntimeException e) {
            log.error("internal error while handling a call from another node", e);
            metrics.ownerAnswered(Outcome.UNKNOWN);
            exchange.respond(CallException.unknown(502, "internal"));
        }
    }

    private void serve(Exchange exchange) throws CallException {
        String serverId = exchange.header(CallHeaders.OWNER_HOP);
        if (serverId == null) {
            throw CallException.notRun(400, "no-owner-hop");
        }
        if (draining) {
            throw CallException.notRun(503, "draining");
        }
        Optional<RoutingTable> table = routes.current();
        Tables tables = table.map(now -> now.version().tables()).orElse(Tables.EMPTY);
        String route =
                table.flatMap(now -> now.match(exchange.host(), exchange.path(), exchange.method()))
                        .map(RouteMatch::route)
                        .map(found -> found.name())
                        .orElse("");
        CallContext call = contexts.forOwner(exchange, route, tables);
        limiter.acquire(call.rankOrder(), tables);
        try {
            if (call.body().fullyRead()) {
                exchange.bodyRead();
            }
            dispatch(call, serverId);
        } finally {
            limiter.release();
        }
    }

    private void dispatch(CallContext call, String serverId) throws CallException {
        try {
            HopResponse hopResponse = dispatcher.run(call, serverId);
            report(call, serverId);
            call.exchange().responseHeaders().put(CallHeaders.OUTCOME, Outcome.RAN.headerValue());
            call.exchange().responseHeaders().put(CallHeaders.CALL_ID, call.callId());
            relay.relay(call, hopResponse);
        } catch (CallException e) {
            report(call, serverId);
            throw e;
        }
    }

    private void report(CallContext call, String serverId) {
        LocalServer server = dispatcher.find(serverId);
        if (server != null) {
            call.exchange().responseHeaders().put(CallHeaders.LOAD, server.load());
            String pressure = server.pressure();
            if (!pressure.isEmpty()) {
                call.exchange().responseHeaders().put(CallHeaders.PRESSURE, pressure);
            }
        }
    }
}
