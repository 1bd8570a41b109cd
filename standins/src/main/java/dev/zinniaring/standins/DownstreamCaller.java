package dev.zinniaring.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Issues the downstream call that a fake backend server makes for each call it handles. */
final class DownstreamCaller {
    private static final int MAX_CALLS = 256;
    private static final int NO_RESPONSE_STATUS = 502;
    private static final List<String> FORWARDED_HEADERS =
            List.of(
                    "Zinniaring-Rank",
                    "Zinniaring-Deadline-Ms",
                    "Zinniaring-Depth",
                    "Zinniaring-Call-Id",
                    "Zinniaring-Attempt");

    private final String url;
    private final OkHttpClient client;

    DownstreamCaller(InetSocketAddress node, String path) {
        url = BackendServer.urlOf(node) + path;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_CALLS);
        dispatcher.setMaxRequestsPerHost(MAX_CALLS);
        client =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .retryOnConnectionFailure(false)
                        .callTimeout(Duration.ofSeconds(30))
                        .readTimeout(Duration.ofSeconds(30))
                        .build();
    }

    /**
     * Sends the downstream call; completes with its status, or with 502 if there is no response.
     */
    CompletableFuture<Integer> call(Map<String, String> headers, byte[] body) {
        Request.Builder request = new Request.Builder().url(url).post(RequestBody.create(body));
        for (String name : FORWARDED_HEADERS) {
            String value = headers.get(name);
            if (value != null) {
                request.header(name, value);
            }
        }
        CompletableFuture<Integer> status = new CompletableFuture<>();
        client.newCall(request.build()).enqueue(statusCallback(status));
        return status;
    }

    private static Callback statusCallback(CompletableFuture<Integer> status) {
        return new Callback() {
            @Override
            public void onFailure(Call call, IOException e) {
                status.complete(NO_RESPONSE_STATUS);
            }

            @Override
            public void onResponse(Call call, Response response) {
                response.close();
                status.complete(response.code());
            }
        };
    }

    void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
