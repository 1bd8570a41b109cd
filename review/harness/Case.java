import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the cases share: the store, the servers and nodes of a small deployment, and the exit status. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    static final String HOST = "hulo84.example";

    /** Whether the disruption is played; {@code TROUBLE=0} plays the same without it. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final List<Node> nodes = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();
    private final Map<Server, Node> beside = new java.util.concurrent.ConcurrentHashMap<>();
    Store store;
    Record record;
    Path temporary;

    abstract int play() throws Exception;

    /** Runs a case and exits with its status. */
    static void run(Case played, String[] args) throws Exception {
        int status = NOT_RUN;
        played.temporary = Files.createTempDirectory("review");
        Thread hook = new Thread(played::endAll);
        Runtime.getRuntime().addShutdownHook(hook);
        Thread watchdog = new Thread(() -> {
            sleep(110_000);
            System.out.println("not run: it took too long");
            played.endAll();
            Runtime.getRuntime().halt(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        try (Record record = new Record(Path.of(args[0]))) {
            played.record = record;
            record.line("disruption: %s", played.trouble ? "played" : "left out (TROUBLE=0)");
            played.store = new Store();
            try {
                status = played.play();
            } catch (Exception e) {
                record.line("could not run: %s", e);
            }
            record.line("result: %s", status == HELD ? "the rule held" : status == BROKEN ? "the rule was BROKEN" : "not run");
        } finally {
            played.endAll();
        }
        System.out.println(status == HELD ? "held" : status == BROKEN ? "BROKEN" : "not run");
        Runtime.getRuntime().halt(status);
    }

    private synchronized void endAll() {
        nodes.forEach(Node::close);
        servers.forEach(Server::close);
        if (System.getenv("KEEP") != null) {
            return;
        }
        try (var files = Files.walk(temporary)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The temporary folder stays.
        }
    }

    /** Starts a server and the node beside it; the server then sends its heartbeats. */
    Node add(String node, String zone, Server server) throws Exception {
        servers.add(server);
        Node added = new Node(node, zone, server.service, server.address(), store.address(), temporary);
        nodes.add(added);
        added.startFirst();
        beside.put(server, added);
        Thread beats = new Thread(() -> beat(server, added, zone));
        beats.setDaemon(true);
        beats.start();
        return added;
    }

    /** The server's heartbeats, every 1.5 s, until {@link #silence}. */
    private void beat(Server server, Node node, String zone) {
        while (beside.get(server) == node) {
            server.sendHeartbeat(node.control(), server.heartbeat(zone));
            sleep(1_500);
        }
    }

    void silence(Server server) {
        beside.remove(server);
    }

    boolean awaitAllReady() throws Exception {
        for (Node node : nodes) {
            if (!node.awaitReady(30)) {
                record.line("%s is not ready: process alive %s", node.name, node.alive());
                for (String line : node.logLines("")) {
                    record.line("its log: %s", line);
                }
                return false;
            }
        }
        return true;
    }

    /** The operator's document: one route for each of name, prefix, kind, service and time-out. */
    void configure(int version, String routes, String... services) {
        StringBuilder text = new StringBuilder("{\"version\":\"" + String.format("%08x", version) + "\",\"resources\":[");
        text.append(routes);
        for (String service : services) {
            text.append(",{\"resource_type\":\"services\",\"metadata\":{\"name\":\"").append(service)
                    .append("\"},\"spec\":{\"health_path\":\"/health\",\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false}}");
        }
        // As `fleetbench wire` prints the limits.
        text.append(",{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}");
        store.operatorPut("config", text.toString());
        record.line("the operator wrote configuration %08x", version);
    }

    static String route(String name, String prefix, String kind, String service, int timeoutMillis) {
        return route(name, prefix, kind, service, timeoutMillis, 400);
    }

    static String route(String name, String prefix, String kind, String service, int timeoutMillis, int targetMillis) {
        return "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"" + name + "\"},\"spec\":{\"host\":\"" + HOST
                + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMillis
                + ",\"target_latency_ms\":" + targetMillis + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":2}}";
    }

    static String head(String method, String path, String attempt, int deadlineMillis) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n";
    }

    static String describe(Http.Message answer) {
        return answer == null ? "connection closed" : answer.first()
                + (answer.header("Zinniaring-Reason") == null ? "" : " (" + answer.header("Zinniaring-Reason") + ")")
                + (answer.header("X-Server-Seal") == null ? "" : " sealed");
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
