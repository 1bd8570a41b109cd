package dev.zinniaring.node;

import dev.zinniaring.admission.Fingerprints;
import dev.zinniaring.admission.KeyAnswer;
import dev.zinniaring.admission.StoredAnswer;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.routing.RouteMatch;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import okhttp3.Response;
import okio.BufferedSource;
import org.eclipse.jetty.http.HttpFields;

/** Handles calls with an idempotency key: a repeated key does not make its call run again. */
final class KeyedCalls {
    private static final int MAX_STORED_BYTES = 64 * 1024;

    private final KeyHome home;
    private final RetryingDispatcher dispatcher;
    private final ResponseRelay relay;
    private final Clock clock;

    KeyedCalls(KeyHome home, RetryingDispatcher dispatcher, ResponseRelay relay, Clock clock) {
        this.home = home;
        this.dispatcher = dispatcher;
        this.relay = relay;
        this.clock = clock;
    }

    /**
     * Runs a call, or replays its stored response, and relays the response.
     *
     * @throws CallException if there is no response
     */
    void handle(CallContext call, RouteMatch match, PoolState pool) throws CallException {
        KeyMessages.KeyRequest request = request(call, match);
        KeyAnswer known = home.begin(request, call.deadlineNanos() - clock.nanos());
        switch (known.state()) {
            case NEW -> run(call, match, pool, new StartedRun(request, known.run()));
            case DONE -> replay(call, known);
            case RUNNING -> throw CallException.unknown(409, "key-running");
            case UNKNOWN -> throw CallException.unknown(409, "key-unknown");
            case MISMATCH -> throw CallException.notRun(400, "key-of-another-request");
            default -> throw CallException.notRun(503, "key-memory-full");
        }
    }

    private static KeyMessages.KeyRequest request(CallContext call, RouteMatch match) {
        Exchange exchange = call.exchange();
        String key = call.key() == null ? "" : call.key();
        long fingerprint =
                Fingerprints.ofBody(
                        call.route(), exchange.method(), exchange.target(), call.body().start());
        boolean resend = "true".equalsIgnoreCase(exchange.header(CallHeaders.IDEMPOTENCY_RESEND));
        String service = match.pool().pool().service();
        return new KeyMessages.KeyRequest(service, key, fingerprint, resend, 0, null, null);
    }

    private void run(CallContext call, RouteMatch match, PoolState pool, StartedRun key)
            throws CallException {
        HopResponse hopResponse;
        try {
            hopResponse = dispatcher.run(call, match, pool);
        } catch (CallException e) {
            home.reportEnd(key.endReport(e.outcome(), Optional.empty()));
            throw e;
        }
        Optional<StoredAnswer> stored;
        try {
            stored = stored(hopResponse.httpResponse());
        } catch (IOException e) {
            hopResponse.end(HopResponse.End.BROKEN);
            home.reportEnd(key.endReport(Outcome.UNKNOWN, Optional.empty()));
            throw ResponseRelay.broken(e);
        }
        home.reportEnd(key.endReport(Outcome.RAN, stored));
        call.exchange().responseHeaders().put(CallHeaders.OUTCOME, Outcome.RAN.headerValue());
        relay.relay(call, hopResponse);
    }

    /** A key for which its home has registered the start of a run. */
    private record StartedRun(KeyMessages.KeyRequest request, long run) {
        KeyMessages.KeyRequest endReport(Outcome outcome, Optional<StoredAnswer> answer) {
            return request.endReport(run, outcome, answer);
        }
    }

    /** Returns a copy of a small response without consuming its body; empty for a larger one. */
    private static Optional<StoredAnswer> stored(Response response) throws IOException {
        BufferedSource source = response.body().source();
        if (source.request(MAX_STORED_BYTES + 1)) {
            return Optional.empty();
        }
        byte[] body = source.getBuffer().clone().readByteArray();
        Map<String, List<String>> headers = new TreeMap<>();
        response.headers()
                .toMultimap()
                .forEach(
                        (name, values) -> {
                            if (CallHeaders.forwarded(name)) {
                                headers.put(name, List.copyOf(values));
                            }
                        });
        return Optional.of(new StoredAnswer(response.code(), headers, body));
    }

    private static void replay(CallContext call, KeyAnswer known) throws CallException {
        StoredAnswer answer =
                known.answer().orElseThrow(() -> CallException.ran(409, "answer-not-kept"));
        Exchange exchange = call.exchange();
        exchange.status(answer.status());
        HttpFields.Mutable fields = exchange.responseHeaders();
        answer.headers().forEach((name, values) -> fields.add(name, values));
        fields.put(CallHeaders.OUTCOME, Outcome.RAN.headerValue());
        fields.put(CallHeaders.REASON, "replayed");
        exchange.end(answer.body(), 0, answer.body().length);
    }
}
