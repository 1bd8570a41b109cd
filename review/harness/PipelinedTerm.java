import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients pipeline two requests, and the node is stopped while the first one runs. */
final class PipelinedTerm extends Case {
    private static final int CLIENTS = 8;
    private static final int SLACK_MILLIS = 200;

    private final Map<Integer, Integer> unreadBytes = new ConcurrentHashMap<>();
    private final Set<Integer> ports = ConcurrentHashMap.newKeySet();

    public static void main(String[] args) throws Exception {
        run(new PipelinedTerm(), args);
    }

    @Override
    int play() throws Exception {
        String reads = "huvo11a";
        String orders = "wuno96b";
        configure(7, route("r-n2ctnfz", "/leny950/", "safe", reads, 2_500) + ","
                + route("r-s989anu", "/puka111/", "unsafe", orders, 2_500), reads, orders);
        add("sidecar-pt-centro-b-1", "pt-centro-b", new Server("i-7f3a91c2", reads, 18, 900, 0));
        add("sidecar-pt-centro-c-1", "pt-centro-c", new Server("i-02d9e6b4", orders, 18, 60, 0));
        Node a = add("sidecar-pt-centro-a-1", "pt-centro-a", new Server("i-55d9e6b4", reads, 18, 900, 0));
        if (!awaitAllReady()) {
            return NOT_RUN;
        }
        sleep(4_000);
        AtomicInteger lost = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            Thread thread = new Thread(() -> client(a, n, lost));
            threads.add(thread);
            thread.start();
        }
        sleep(300);
        for (int port : ports) {
            unreadBytes.put(port, unread(a, port));
        }
        record.line("bytes that the node has not read yet, by connection: %s", unreadBytes);
        if (trouble) {
            record.line("SIGTERM to %s", a.name);
            a.terminate();
            record.line("it ended, status %d", a.exitValue());
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.line("%d requests that were read whole had no answer", lost.get());
        return lost.get() > 0 ? BROKEN : HELD;
    }

    /** Returns the size of the receive queue of the node's side of a connection, -1 if not found. */
    private static int unread(Node node, int clientPort) throws IOException {
        String address = node.calls();
        String local = String.format(":%04X", Integer.parseInt(address.substring(address.indexOf(':') + 1)));
        String remote = String.format(":%04X", clientPort);
        for (String file : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(file))) {
                String[] words = line.trim().split("\\s+");
                if (words.length > 4 && words[1].endsWith(local) && words[2].endsWith(remote)) {
                    return Integer.parseInt(words[4].split(":")[1], 16);
                }
            }
        }
        return -1;
    }

    private void client(Node node, int n, AtomicInteger lost) {
        String read = String.format("aaaa%012x", n);
        String order = String.format("bbbb%012x", n);
        long sent = 0;
        try (Http.Connection connection = new Http.Connection(node.calls(), 6_000)) {
            connection.send(head("GET", "/leny950/2f", read, 2_500), new byte[0]);
            connection.send(head("POST", "/puka111/2f", order, 2_500), new byte[300]);
            sent = System.currentTimeMillis();
            int port = connection.socket.getLocalPort();
            ports.add(port);
            Http.Message first = connection.receive();
            record.line("%s: %s, Connection: %s", read, describe(first), first == null ? "" : first.header("Connection"));
            Http.Message second = connection.receive();
            record.line("%s: %s", order, describe(second));
            if (second == null && unreadBytes.getOrDefault(port, -1) == 0
                    && System.currentTimeMillis() - sent > SLACK_MILLIS) {
                lost.incrementAndGet();
                record.line("%s: the connection ended %d ms after its last byte was sent", order,
                        System.currentTimeMillis() - sent);
            }
        } catch (IOException e) {
            record.line("%s / %s: %s", read, order, e);
        }
    }
}
