import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: rows-tx, rows-get and rows-feed, without faults. */
final class Store {
    private record Row(String table, String key, String value, long ver, boolean deleted) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(Store::daemon);
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long ver = 1;

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    }

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        server.setExecutor(threads);
        server.createContext("/zinniaring/rows-tx", this::transaction);
        server.createContext("/zinniaring/rows-get", this::get);
        server.createContext("/zinniaring/rows-feed", this::feed);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    void stop() {
        server.stop(0);
        threads.shutdownNow();
    }

    /** What the operator does: writes the configuration. */
    synchronized void operatorPut(String key, String value) {
        ver++;
        rows.put("op\n" + key, new Row("op", key, base64(value), ver, false));
        notifyAll();
    }

    /** Returns the keys that are present in a table. */
    synchronized List<String> keys(String table) {
        List<String> keys = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.table.equals(table) && !row.deleted) {
                keys.add(row.key);
            }
        }
        return keys;
    }

    private static String base64(String value) {
        return java.util.Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    @SuppressWarnings("unchecked")
    private void transaction(HttpExchange exchange) throws IOException {
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, Object> body = (Map<String, Object>) Json.parse(text);
        pause(5);
        synchronized (this) {
            StringBuilder present = new StringBuilder();
            boolean holds = true;
            for (Object o : (List<Object>) body.getOrDefault("expect", List.of())) {
                Map<String, Object> e = (Map<String, Object>) o;
                Row row = rows.get(e.get("table") + "\n" + e.get("key"));
                long is = row == null || row.deleted ? 0 : row.ver;
                holds &= is == ((Number) e.get("ver")).longValue();
                if (row != null && !row.deleted) {
                    present.append(present.length() > 0 ? "," : "").append(json(row));
                }
            }
            if (!holds) {
                answer(exchange, 412, "{\"rows\":[" + present + "],\"ver\":" + ver + now() + "}");
                return;
            }
            ver++;
            for (Object o : (List<Object>) body.getOrDefault("set_keys", List.of())) {
                Map<String, Object> e = (Map<String, Object>) o;
                rows.put(e.get("table") + "\n" + e.get("key"),
                        new Row((String) e.get("table"), (String) e.get("key"), (String) e.get("value"), ver, false));
            }
            for (Object o : (List<Object>) body.getOrDefault("delete_keys", List.of())) {
                Map<String, Object> e = (Map<String, Object>) o;
                if (rows.containsKey(e.get("table") + "\n" + e.get("key"))) {
                    rows.put(e.get("table") + "\n" + e.get("key"),
                            new Row((String) e.get("table"), (String) e.get("key"), "", ver, true));
                }
            }
            notifyAll();
            answer(exchange, 200, "{\"ver\":" + ver + now() + "}");
        }
    }

    private void get(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        pause(4);
        synchronized (this) {
            StringBuilder list = new StringBuilder();
            for (Row row : rows.values()) {
                if (row.table.equals(query.get("table")) && !row.deleted
                        && row.key.compareTo(query.getOrDefault("from", "")) >= 0) {
                    list.append(list.length() > 0 ? "," : "").append(json(row));
                }
            }
            answer(exchange, 200, "{\"rows\":[" + list + "],\"has_more\":false,\"ver\":" + ver + now() + "}");
        }
    }

    private void feed(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        long after = Long.parseLong(query.get("after"));
        long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        pause(4);
        synchronized (this) {
            while (true) {
                List<Row> changed = new ArrayList<>();
                for (Row row : rows.values()) {
                    if (row.table.equals(query.get("table")) && row.ver > after) {
                        changed.add(row);
                    }
                }
                long left = end - System.currentTimeMillis();
                if (!changed.isEmpty() || left <= 0) {
                    changed.sort((a, b) -> Long.compare(a.ver, b.ver));
                    StringBuilder list = new StringBuilder();
                    for (Row row : changed) {
                        list.append(list.length() > 0 ? "," : "").append(json(row));
                    }
                    answer(exchange, 200, "{\"rows\":[" + list + "],\"ver\":" + ver + now() + "}");
                    return;
                }
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private static String now() {
        return ",\"now_ms\":" + System.nanoTime() / 1_000_000L;
    }

    private static String json(Row row) {
        return "{\"table\":" + Json.quote(row.table) + ",\"part\":\"\",\"key\":" + Json.quote(row.key)
                + ",\"value\":" + Json.quote(row.value) + ",\"ver\":" + row.ver
                + (row.deleted ? ",\"deleted\":true" : "") + "}";
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        for (String pair : (raw == null ? "" : raw).split("&")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                query.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
