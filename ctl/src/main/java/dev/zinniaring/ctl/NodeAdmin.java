package dev.zinniaring.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.zinniaring.kernel.NamedThreads;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import java.util.regex.Pattern;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Client of the nodes' admin endpoints, which queries several nodes concurrently. */
final class NodeAdmin implements AutoCloseable {
    /** Queries 2,200 nodes in about a second at a few milliseconds per node. */
    private static final int THREADS = 16;

    /** A state dump of the largest mesh is a few MiB. */
    private static final long MAX_RESPONSE_BYTES = 32L * 1024 * 1024;

    private static final Pattern ADDRESS =
            Pattern.compile("([A-Za-z0-9.-]+|\\[[0-9A-Fa-f:.]+\\]):[0-9]{1,5}");
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final List<String> known;
    private final OkHttpClient client;
    private final ExecutorService threads =
            Executors.newFixedThreadPool(THREADS, NamedThreads.daemon("node-admin"));

    /**
     * Creates a client.
     *
     * @param known admin addresses of some nodes
     * @param timeout timeout of one request
     */
    NodeAdmin(List<String> known, Duration timeout) {
        this.known = List.copyOf(known);
        this.client =
                new OkHttpClient.Builder()
                        .callTimeout(timeout)
                        .proxy(Proxy.NO_PROXY)
                        .followRedirects(false)
                        .build();
    }

    static boolean isAddress(String text) {
        return ADDRESS.matcher(text).matches() && HttpUrl.parse("http://" + text) != null;
    }

    /**
     * Returns the statuses of the known nodes and of all members that they list, sorted by node id.
     */
    List<NodeStatus> statuses() {
        Map<String, NodeStatus> byAddress = new TreeMap<>();
        for (NodeStatus status : query(known, this::status)) {
            byAddress.put(status.address(), status);
        }
        TreeSet<String> discovered = new TreeSet<>();
        byAddress.values().forEach(status -> discovered.addAll(status.adminAddresses().values()));
        discovered.removeIf(address -> byAddress.containsKey(address) || !isAddress(address));
        for (NodeStatus status : query(discovered, this::status)) {
            byAddress.put(status.address(), status);
        }
        Map<String, NodeStatus> byNode = new TreeMap<>();
        byAddress.values().forEach(status -> byNode.putIfAbsent(status.node(), status));
        return List.copyOf(byNode.values());
    }

    /** Returns the highest version that the known nodes serve, 0 if none can be reached. */
    long highestVersion() {
        return query(known, this::status).stream().mapToLong(NodeStatus::version).max().orElse(0);
    }

    /** Returns the state dumps of nodes by address; for an unreachable node, an error object. */
    Map<String, JsonNode> states(Collection<String> addresses) {
        Map<String, JsonNode> states = new TreeMap<>();
        List<String> order = List.copyOf(addresses);
        List<JsonNode> answers = query(order, this::state);
        for (int i = 0; i < order.size(); i++) {
            states.put(order.get(i), answers.get(i));
        }
        return states;
    }

    List<String> known() {
        return known;
    }

    private <T> List<T> query(Collection<String> addresses, Function<String, T> request) {
        List<CompletableFuture<T>> answers = new ArrayList<>();
        for (String address : addresses) {
            answers.add(CompletableFuture.supplyAsync(() -> request.apply(address), threads));
        }
        return answers.stream().map(CompletableFuture::join).toList();
    }

    private NodeStatus status(String address) {
        try {
            return NodeStatus.of(address, get(address, "status"));
        } catch (IOException e) {
            return NodeStatus.unreachable(address, String.valueOf(e.getMessage()));
        }
    }

    private JsonNode state(String address) {
        try {
            return get(address, "state");
        } catch (IOException e) {
            return Console.object().put("error", String.valueOf(e.getMessage()));
        }
    }

    private JsonNode get(String address, String path) throws IOException {
        Request request = new Request.Builder().url("http://" + address + "/" + path).build();
        try (Response response = client.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException("returned status " + response.code());
            }
            return MAPPER.readTree(readBounded(response));
        } catch (JsonProcessingException e) {
            throw new IOException("the response is not valid JSON", e);
        }
    }

    private static byte[] readBounded(Response response) throws IOException {
        if (response.body().source().request(MAX_RESPONSE_BYTES + 1)) {
            throw new IOException("the response is larger than " + MAX_RESPONSE_BYTES + " bytes");
        }
        return response.body().bytes();
    }

    @Override
    public void close() {
        threads.shutdown();
        client.connectionPool().evictAll();
    }
}
