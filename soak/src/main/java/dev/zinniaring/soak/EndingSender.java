package dev.zinniaring.soak;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.platform.PlatformHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Sends a request that ends each server that runs it, again and again to any node; waits for each
 * answer before the next send. The path names the request, which no other sender sends.
 */
final class EndingSender {
    private static final int MAX_PAUSE_MILLIS = 400;
    private static final HeaderNames NAMES = PlatformHeaders.names();

    private final List<InetSocketAddress> nodes;
    private final OkHttpClient client;
    private final SplittableRandom random;
    private final String path;
    private volatile boolean stopped;

    EndingSender(
            List<InetSocketAddress> nodes,
            OkHttpClient client,
            SplittableRandom random,
            int number) {
        this.nodes = nodes;
        this.client = client;
        this.random = random;
        this.path = Route.LOOKUP.prefix().replaceAll("/$", "") + ObservedServer.ENDING + number;
    }

    void start() {
        Thread thread = new Thread(this::sendUntilStopped, "ending-sender");
        thread.setDaemon(true);
        thread.start();
    }

    void stop() {
        stopped = true;
    }

    private void sendUntilStopped() {
        for (int sent = 0; !stopped; sent++) {
            Request request =
                    new Request.Builder()
                            .url(
                                    "http://%s%s"
                                            .formatted(
                                                    Addresses.text(
                                                            nodes.get(
                                                                    random.nextInt(nodes.size()))),
                                                    path))
                            .header("Host", Route.HOST)
                            .header(NAMES.callId(), path + "-" + sent)
                            .header(NAMES.deadlineMillis(), "1000")
                            .build();
            try (Response response = client.newCall(request).execute()) {
                response.body().bytes();
            } catch (IOException e) {
                // The node was ended or cut off by another fault; the request is sent again.
            }
            try {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
