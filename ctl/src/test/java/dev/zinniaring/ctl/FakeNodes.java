package dev.zinniaring.ctl;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Fake admin servers of nodes, whose statuses the test sets. */
final class FakeNodes implements AutoCloseable {
    private final List<HttpServer> servers = new ArrayList<>();
    private final Map<Integer, String> statuses = new ConcurrentHashMap<>();

    FakeNodes(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            int id = i;
            HttpServer server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            server.createContext("/status", exchange -> answer(exchange, statuses.get(id)));
            server.createContext("/state", exchange -> answer(exchange, "{\"calls\": " + id + "}"));
            server.start();
            servers.add(server);
        }
    }

    String address(int id) {
        return "127.0.0.1:" + servers.get(id).getAddress().getPort();
    }

    /** Sets the status of a node: its version, all nodes as members, and additional JSON fields. */
    void version(int id, long version, String more) {
        String members =
                IntStream.range(0, servers.size())
                        .mapToObj(i -> "\"n" + i + "\": \"" + address(i) + "\"")
                        .collect(Collectors.joining(", "));
        statuses.put(
                id,
                """
                {"node": "n%d", "zone": "z", "version": %d, "ready": true%s,
                 "adminAddresses": {%s}}
                """
                        .formatted(id, version, more, members));
    }

    private static void answer(HttpExchange exchange, String body) throws IOException {
        byte[] bytes = body.getBytes(UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        servers.forEach(server -> server.stop(0));
    }
}
