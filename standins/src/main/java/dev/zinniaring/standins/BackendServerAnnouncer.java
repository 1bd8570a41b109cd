package dev.zinniaring.standins;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells a node about the fake backend server beside it. */
final class BackendServerAnnouncer {
    private static final Logger log = LoggerFactory.getLogger(BackendServerAnnouncer.class);
    private static final MediaType JSON = MediaType.get("application/json");

    private final BackendServerBuilder parts;
    private final String url;
    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(1)).build();
    private boolean reached = true;

    BackendServerAnnouncer(BackendServerBuilder parts, InetSocketAddress node) {
        this.parts = parts;
        this.url = BackendServer.urlOf(node) + "/servers/" + parts.serverId;
    }

    synchronized void announce(InetSocketAddress address, String state, int outstanding) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("service", parts.service);
        body.put("address", BackendServer.textOf(address));
        body.put("slots", parts.slots);
        body.put("connections", parts.connections);
        body.put("warmUpMillis", parts.warmUpMillis);
        body.put("state", state);
        body.put("load", outstanding);
        send(new Request.Builder().url(url).put(RequestBody.create(body.toString(), JSON)));
    }

    synchronized void withdraw() {
        send(new Request.Builder().url(url).delete());
    }

    private void send(Request.Builder request) {
        try (Response response = client.newCall(request.build()).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException(
                        "status " + response.code() + ": " + response.body().string().trim());
            }
            reached = true;
        } catch (IOException e) {
            if (reached) {
                log.warn("server {} cannot announce itself: {}", parts.serverId, e.toString());
            }
            reached = false;
        }
    }

    void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
