package dev.zinniaring.node;

import dev.zinniaring.admission.IdempotencyMemory;
import dev.zinniaring.admission.KeyAnswer;
import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.model.EndpointRecord;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.eclipse.jetty.http.HttpHeader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests about idempotency keys to their home nodes, and serves such requests for the keys
 * whose home is this node. The home node of a key keeps the record of the calls made with it.
 */
final class KeyHome {
    /** Header that marks a request about a key on the listener for other nodes. */
    static final String HEADER = "Zinniaring-Key-Home";

    private static final Logger log = LoggerFactory.getLogger(KeyHome.class);
    private static final long HOME_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final String ownNodeId;
    private final IdempotencyMemory memory;
    private final KeyHomeSelector homes;
    private final Endpoints endpoints;
    private final HopClient client;

    KeyHome(
            String ownNodeId,
            IdempotencyMemory memory,
            KeyHomeSelector homes,
            Endpoints endpoints,
            HopClient client) {
        this.ownNodeId = ownNodeId;
        this.memory = memory;
        this.homes = homes;
        this.endpoints = endpoints;
        this.client = client;
    }

    /**
     * Begins a call with a key.
     *
     * @throws CallException with outcome {@code not-run} if the key's home cannot be reached
     */
    KeyAnswer begin(KeyMessages.KeyRequest request, long leftNanos) throws CallException {
        return ask(request, leftNanos).toKeyAnswer();
    }

    /** Reports to the home how a call ended. If the report is lost, the key stays unusable. */
    void reportEnd(KeyMessages.KeyRequest report) {
        try {
            ask(report, HOME_TIMEOUT_NANOS);
        } catch (CallException e) {
            log.debug(
                    "could not report the end of a call to the home of its key: {}",
                    e.getMessage());
        }
    }

    private KeyMessages.KeyReply ask(KeyMessages.KeyRequest request, long leftNanos)
            throws CallException {
        Map<String, String> nodes = nodes(request.service());
        String home = KeyHomeSelector.choose(nodes.keySet(), request.key());
        if (home == null) {
            throw CallException.notRun(503, "no-server");
        }
        if (home.equals(ownNodeId)) {
            return answer(request);
        }
        String url = "http://" + nodes.get(home) + "/";
        Request http =
                new Request.Builder()
                        .url(url)
                        .header(HEADER, ownNodeId)
                        .header(CallHeaders.CALL_ID, CallContextFactory.newCallId())
                        .post(RequestBody.create(KeyMessages.write(request)))
                        .build();
        return send(http, Math.min(leftNanos, HOME_TIMEOUT_NANOS));
    }

    private KeyMessages.KeyReply send(Request request, long leftNanos) throws CallException {
        HopResponse hopResponse;
        try {
            hopResponse = client.send(request, leftNanos, new Cancellation());
        } catch (HopException e) {
            throw CallException.notRun(503, "key-home-unreachable");
        }
        HopResponse.End end = HopResponse.End.BROKEN;
        try {
            byte[] body = hopResponse.httpResponse().body().bytes();
            end = HopResponse.End.COMPLETE;
            if (!hopResponse.httpResponse().isSuccessful()) {
                throw CallException.notRun(503, "key-home-refused");
            }
            return KeyMessages.read(body, KeyMessages.KeyReply.class);
        } catch (IOException e) {
            throw CallException.notRun(503, "key-home-unreachable");
        } finally {
            hopResponse.end(end);
        }
    }

    /** Serves another node's request about a key. */
    void serve(Exchange exchange) throws CallException {
        KeyMessages.KeyRequest request;
        try {
            byte[] body = exchange.body().allBytes();
            request = KeyMessages.read(body, KeyMessages.KeyRequest.class);
        } catch (IOException e) {
            throw CallException.notRun(400, "bad-key-request");
        }
        String home = KeyHomeSelector.choose(nodes(request.service()).keySet(), request.key());
        if (request.end() == null && !ownNodeId.equals(home)) {
            throw CallException.notRun(503, "not-key-home");
        }
        byte[] reply = KeyMessages.write(answer(request));
        exchange.status(200);
        exchange.nameCall();
        exchange.responseHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        exchange.end(reply, 0, reply.length);
    }

    private KeyMessages.KeyReply answer(KeyMessages.KeyRequest request) {
        String key = request.service() + "\n" + request.key();
        Outcome end = request.end();
        if (end == null) {
            long sinceNanos = homes.homeSinceNanos(request.service(), request.key());
            return KeyMessages.KeyReply.of(
                    memory.begin(key, request.fingerprint(), request.resend(), sinceNanos));
        }
        switch (end) {
            case RAN -> {
                KeyMessages.Stored stored = request.answer();
                memory.completed(
                        key,
                        request.run(),
                        Optional.ofNullable(stored).map(KeyMessages.Stored::toAnswer));
            }
            case NOT_RUN -> memory.notRun(key, request.run());
            default -> memory.unknown(key, request.run());
        }
        return KeyMessages.KeyReply.ACKNOWLEDGED;
    }

    /** Returns the ids and call addresses of the nodes that have backend servers of a service. */
    private Map<String, String> nodes(String service) {
        Map<String, String> nodes = new TreeMap<>();
        for (EndpointRecord record : endpoints.view().of(service)) {
            nodes.put(record.nodeId(), record.callAddress());
        }
        return nodes;
    }
}
