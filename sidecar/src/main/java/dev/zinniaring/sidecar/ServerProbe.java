package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.calls.NamedLoad;
import dev.zinniaring.calls.OutboundRequest;
import dev.zinniaring.calls.PooledHttpClient;
import dev.zinniaring.calls.ResponseListener;
import dev.zinniaring.calls.SendFailure;
import dev.zinniaring.calls.ServerNotice;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Learns the id of the backend server from one health check after a restart of the node, so that
 * the node need not wait for the next announcement. Only one request is sent, since health checks
 * load the server.
 */
final class ServerProbe {
    private static final Logger log = LoggerFactory.getLogger("node");
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    private static final int OK = 200;

    private final PooledHttpClient client;
    private final HeaderNames names;
    private final InetSocketAddress address;
    private boolean sent;

    /** A backend server that answered its health check, and what it said about itself. */
    record IdentifiedServer(String serverId, int slots, ServerNotice notice) {}

    ServerProbe(PooledHttpClient client, HeaderNames names, InetSocketAddress address) {
        this.client = client;
        this.names = names;
        this.address = address;
    }

    /** Allows one more health check. */
    void reset() {
        sent = false;
    }

    /** Sends the health check, unless one was already sent since the last reset. */
    void check(String healthPath, Consumer<IdentifiedServer> onIdentified) {
        if (sent) {
            return;
        }
        sent = true;
        client.send(address, request(healthPath), new Result(onIdentified));
    }

    /**
     * Finds out whether the backend server still runs.
     *
     * @param onEnded runs if nothing listens at its address any more
     */
    void checkEnded(String healthPath, Runnable onEnded) {
        client.send(
                address,
                request(healthPath),
                new ResponseListener() {
                    @Override
                    public void onResponse(Answer answer) {}

                    @Override
                    public void onFailure(SendFailure failure, String reason) {
                        if (failure == SendFailure.NOT_SENT) {
                            onEnded.run();
                        }
                    }
                });
    }

    private static OutboundRequest request(String healthPath) {
        // A late second answer to a health check names no request, so no call may follow it.
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return new OutboundRequest(
                "GET",
                healthPath,
                headers,
                new byte[0],
                TIMEOUT_MILLIS,
                CONNECT_TIMEOUT_MILLIS,
                0,
                "");
    }

    private final class Result implements ResponseListener {
        private final Consumer<IdentifiedServer> onIdentified;

        Result(Consumer<IdentifiedServer> onIdentified) {
            this.onIdentified = onIdentified;
        }

        @Override
        public void onResponse(Answer answer) {
            String serverId = answer.headers().get(names.serverId());
            if (answer.status() == OK && serverId != null) {
                onIdentified.accept(
                        new IdentifiedServer(
                                serverId, slots(answer), ServerNotice.of(answer.headers(), names)));
            } else {
                log.info(
                        "health check did not identify a backend server status={}",
                        answer.status());
            }
        }

        private int slots(Answer answer) {
            NamedLoad load = NamedLoad.read(answer.headers().get(names.load()));
            return load == null ? 1 : Math.max(1, load.slots());
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            log.info("health check of backend server failed reason={}", reason);
        }
    }
}
