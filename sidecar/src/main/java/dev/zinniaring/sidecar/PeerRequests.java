package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.calls.ExchangeHandler;
import dev.zinniaring.calls.PeerCalls;
import dev.zinniaring.calls.PeerSender;

/**
 * Requests of other nodes. Only calls wait for their start; digests and probes do not.
 *
 * @param calls handles the calls for the backend server on this VM
 * @param gossip handles what the nodes tell each other
 */
record PeerRequests(PeerCalls calls, ExchangeHandler gossip) implements ExchangeHandler {
    private static final int OK = 200;

    @Override
    public void handle(Exchange exchange) {
        if (PeerCalls.isCall(exchange)) {
            calls.handle(exchange);
        } else if (exchange.path().equals(PeerSender.ALIVE_PATH)) {
            exchange.answer(Answer.of(OK));
        } else {
            gossip.handle(exchange);
        }
    }

    @Override
    public boolean queued(Exchange exchange) {
        return PeerCalls.isCall(exchange);
    }
}
