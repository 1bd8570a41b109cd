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

/** Announces a fake backend server to the node on the same VM. */
final class BackendServerAnnouncer {
    private static final Logger log = LoggerFactory.getLogger(BackendServerAnnouncer.class);
    private static final MediaType JSON = MediaType.get("application/json");

    private final BackendServerBuilder options;
    private final String url;
    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(1)).build();
    private boolean lastAnnouncementSucceeded = true;

    BackendServerAnnouncer(BackendServerBuilder options, InetSocketAddress node) {
        this.options = options;
        this.url = BackendServer.urlOf(node) + "/servers/" + options.serverId;
    }

    synchronized void announce(InetSocketAddress address, String state, int outstanding) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("service", options.service);
        body.put("address", BackendServer.textOf(address));
        body.put("slots", options.slots);
        body.put("connections", options.connections);
        body.put("warmUpMillis", options.warmUpMillis);
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
            lastAnnouncementSucceeded = true;
        } catch (IOException e) {
            if (lastAnnouncementSucceeded) {
                log.warn(
                        "server {} failed to announce itself to its node: {}",
                        options.serverId,
                        e.toString());
            }
            lastAnnouncementSucceeded = false;
        }
    }

    void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
