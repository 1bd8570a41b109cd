import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A request crashes each worker that begins to run it, and its caller sends it again and again. All
 * nodes are killed at the same moment, three times. How many workers does it still reach?
 */
final class CrashAfterHerd extends Case {
    private static final int WORKERS = 6;
    private static final int STABILITY_MILLIS = 3_000;
    private static final int HERDS = 3;
    private static final int SENDS_A_LIFE = 4;

    /** Time after which a worker that crashed is back. */
    private static final int BACK_MILLIS = 2_000;

    private final List<Long> crashes = new CopyOnWriteArrayList<>();
    private final List<String> reached = new CopyOnWriteArrayList<>();
    private int sends;

    public static void main(String[] args) throws Exception {
        run(new CrashAfterHerd(), args);
    }

    @Override
    int play() throws Exception {
        String service = "wuno96b";
        configure(7, route("r-s989anu", "/puka111/", "unsafe", service, 1_000), service);
        for (int i = 0; i < WORKERS; i++) {
            String zone = "pt-centro-" + "abc".charAt(i % 3);
            Server server = new Server("i-7f3a91c" + i, service, 6, 20, 0);
            server.crashOn("/puka111/crash", BACK_MILLIS, crashed -> {
                crashes.add(System.currentTimeMillis());
                record.line("%s begins to run the request and crashes (crash %d)", crashed, crashes.size());
            });
            add("sidecar-" + zone + "-" + (1 + i / 3), zone, server);
        }
        if (!awaitAllReady()) {
            return NOT_RUN;
        }
        sleep(STABILITY_MILLIS + 1_000);
        life();
        for (int herd = 1; herd <= HERDS; herd++) {
            if (trouble) {
                record.line("all nodes are killed at the same moment and started again");
                for (Node node : nodes) {
                    node.kill();
                }
                for (Node node : nodes) {
                    node.start();
                }
                if (!awaitAllReady()) {
                    return NOT_RUN;
                }
            }
            sleep(STABILITY_MILLIS + 500);
            life();
        }
        int late = 0;
        if (crashes.size() >= 3) {
            for (String send : reached) {
                String[] words = send.split(" ");
                if (Long.parseLong(words[1]) > crashes.get(2) + STABILITY_MILLIS) {
                    late++;
                    record.line("retry %s reached a worker, sent %d ms after the third crash", words[0],
                            Long.parseLong(words[1]) - crashes.get(2));
                }
            }
        }
        record.line("%d sends, %d crashes; %d retries reached workers later than stability_window_ms after the third",
                sends, crashes.size(), late);
        return late > 3 ? BROKEN : crashes.isEmpty() ? NOT_RUN : HELD;
    }

    /** The caller sends the request some times, at one node after the other, and waits for each answer. */
    private void life() throws InterruptedException {
        for (int i = 0; i < SENDS_A_LIFE; i++) {
            Node node = nodes.get(sends % nodes.size());
            String attempt = String.format("%016x", ++sends);
            long sent = System.currentTimeMillis();
            int before = crashes.size();
            String end;
            try {
                end = describe(Http.once(node.calls(), head("POST", "/puka111/crash", attempt, 1_000),
                        "one order".getBytes(), 3_000));
            } catch (IOException e) {
                end = e.toString();
            }
            if (crashes.size() > before && sends > 1) {
                reached.add(attempt + " " + sent);
            }
            record.line("send %s at %s: %s", attempt, node.name, end);
            sleep(BACK_MILLIS + 1_200);
        }
    }
}
