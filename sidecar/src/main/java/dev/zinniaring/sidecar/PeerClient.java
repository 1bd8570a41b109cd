package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.OutboundRequest;
import dev.zinniaring.calls.PooledHttpClient;
import dev.zinniaring.calls.ResponseListener;
import dev.zinniaring.calls.SendFailure;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends control requests to other nodes. Must be used on the event loop. */
final class PeerClient {
    /** Time within which a node answers a request without a large answer. */
    static final int TIMEOUT_MILLIS = 400;

    private static final Logger log = LoggerFactory.getLogger("peers");
    private static final int OK = 200;
    private static final int MAX_IDLE_MILLIS = 6_000;

    private final PooledHttpClient client;

    PeerClient(PooledHttpClient client) {
        this.client = client;
    }

    /** Sends a request; the callback receives null unless the answer has status 200. */
    void request(
            String method,
            String path,
            String address,
            byte[] body,
            int timeoutMillis,
            Consumer<@Nullable Answer> callback) {
        OutboundRequest outbound =
                new OutboundRequest(
                        method,
                        path,
                        new DefaultHttpHeaders(),
                        body,
                        timeoutMillis,
                        TIMEOUT_MILLIS,
                        MAX_IDLE_MILLIS,
                        "");
        client.send(
                Addresses.parse(address),
                outbound,
                new ResponseListener() {
                    @Override
                    public void onResponse(Answer answer) {
                        callback.accept(answer.status() == OK ? answer : null);
                    }

                    @Override
                    public void onFailure(SendFailure failure, String reason) {
                        log.debug("no usable answer from peer address={} path={}", address, path);
                        callback.accept(null);
                    }
                });
    }
}
