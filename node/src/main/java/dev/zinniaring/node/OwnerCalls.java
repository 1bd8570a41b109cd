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
    private final CallContexts contexts;
    private final CallGate gate;
    private final OwnerPath owner;
    private final KeyHome keys;
    private final AnswerRelay relay;
    private final CallMetrics metrics;
    private volatile boolean draining;

    OwnerCalls(
            Routes routes,
            OwnerPath owner,
            KeyHome keys,
            AnswerRelay relay,
            CallMetrics metrics,
            Limits limits,
            Clock clock) {
        this.routes = routes;
        this.contexts = new CallContexts(clock);
        this.gate = new CallGate(limits.maxConcurrentCalls());
        this.owner = owner;
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
            exchange.answer(e);
        } catch (RuntimeException e) {
            log.error("internal error while handling a call from another node", e);
            metrics.ownerAnswered(Outcome.UNKNOWN);
            exchange.answer(CallException.unknown(502, "internal"));
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
        CallContext call = contexts.owned(exchange, route, tables);
        gate.enter(call.rankOrder(), tables);
        try {
            if (call.body().whole()) {
                exchange.bodyRead();
            }
            carry(call, serverId);
        } finally {
            gate.leave();
        }
    }

    private void carry(CallContext call, String serverId) throws CallException {
        try {
            HopAnswer answer = owner.run(call, serverId);
            report(call, serverId);
            call.exchange().answerHeaders().put(CallHeaders.OUTCOME, Outcome.RAN.word());
            call.exchange().answerHeaders().put(CallHeaders.CALL_ID, call.callId());
            relay.relay(call, answer);
        } catch (CallException e) {
            report(call, serverId);
            throw e;
        }
    }

    private void report(CallContext call, String serverId) {
        LocalServer server = owner.find(serverId);
        if (server != null) {
            call.exchange().answerHeaders().put(CallHeaders.LOAD, server.load());
            String pressure = server.pressure();
            if (!pressure.isEmpty()) {
                call.exchange().answerHeaders().put(CallHeaders.PRESSURE, pressure);
            }
        }
    }
}
