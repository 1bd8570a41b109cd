package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Exchange;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.calls.HttpListener;
import java.util.List;
import java.util.stream.Stream;

/** The calls of the two listeners of a sidecar, for its callers and for other nodes. */
record ListenerCalls(HttpListener callers, HttpListener peers, CallPath calls, HeaderNames names)
        implements CallsInFlight {
    @Override
    public void stopAt(long endNanos, long clientsSwitchedNanos) {
        callers.drain();
        peers.drain();
        calls.owner().stopAt(endNanos);
        calls.entry().stopAt(endNanos, clientsSwitchedNanos);
    }

    @Override
    public void refusePeers() {
        calls.owner().refuse("node-leaving");
    }

    @Override
    public void refuseClients() {
        calls.entry().startShutdown();
    }

    @Override
    public int count() {
        return callers.inFlight() + peers.inFlight();
    }

    @Override
    public List<String> ids() {
        return Stream.of(callers, peers)
                .flatMap(listener -> listener.unanswered().stream())
                .map(this::id)
                .toList();
    }

    private String id(Exchange exchange) {
        return exchange.headers().get(names.callId(), "unknown");
    }
}
