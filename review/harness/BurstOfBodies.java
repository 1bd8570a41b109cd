import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests with bodies far below the operator's {@code max_body_bytes}, and a burst of
 * them comes. Are the requests that the node has read still answered?
 */
final class BurstOfBodies extends Case {
    /** Size of the bodies, 1.25 MB: a fiftieth of {@code max_body_bytes}. */
    private static final int BODY_BYTES = 1_280 << 10;

    /** Clients that send such a body each second, and those that come on top: 2.56 times as many in all. */
    private static final int USUAL_CLIENTS = 16;
    private static final int BURST_CLIENTS = 25;
    private static final int BURST_MILLIS = 5_300;
    private static final int SMALL_CLIENTS = 6;

    /** Requests without an answer at their time-out from which the rule is judged. */
    private static final int MIN_REQUESTS = 20;

    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int PATIENCE_MILLIS = 15_000;

    private final Tally small = new Tally();
    private final Tally large = new Tally();
    private volatile boolean over;

    /** What became of the requests of one kind. */
    private static final class Tally {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger atTimeout = new AtomicInteger();
        final AtomicInteger halfASecondLater = new AtomicInteger();
        final AtomicInteger ranUnanswered = new AtomicInteger();
        final Map<String, Integer> ends = new ConcurrentSkipListMap<>();

        void ended(String how, long millis) {
            ends.merge(how, 1, Integer::sum);
            if (millis > TIMEOUT_MILLIS) {
                atTimeout.incrementAndGet();
            }
            if (millis > TIMEOUT_MILLIS + 500) {
                halfASecondLater.incrementAndGet();
            }
        }

        @Override
        public String toString() {
            return sent + " sent; " + atTimeout + " without an answer at the route's timeout_ms, " + halfASecondLater
                    + " of them half a second later too; " + ranUnanswered + " ran and were never answered; " + ends;
        }
    }

    public static void main(String[] args) throws Exception {
        run(new BurstOfBodies(), args);
    }

    @Override
    int play() throws Exception {
        String service = "wuno96b";
        configure(7, route("r-s989anu", "/puka111/", "unsafe", service, TIMEOUT_MILLIS), service);
        Node a = add("sidecar-pt-centro-a-1", "pt-centro-a", new Server("i-7f3a91c2", service, 6, 60, 0));
        add("sidecar-pt-centro-b-1", "pt-centro-b", new Server("i-02d9e6b4", service, 6, 60, 0));
        add("sidecar-pt-centro-c-1", "pt-centro-c", new Server("i-55d9e6b4", service, 6, 60, 0));
        if (!awaitAllReady()) {
            return NOT_RUN;
        }
        sleep(4_000);
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            start(a, 0x1000 + i, 300, 150, small, Long.MAX_VALUE, 25 * i);
        }
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            start(a, 0x2000 + i, BODY_BYTES, 1_000, large, Long.MAX_VALUE, 1_000 * i / USUAL_CLIENTS);
        }
        sleep(5_000);
        record.line("before the burst: small requests: %s", small);
        record.line("before the burst: large requests: %s", large);
        if (trouble) {
            record.line("%d more clients come for %d ms", BURST_CLIENTS, BURST_MILLIS);
            long end = System.currentTimeMillis() + BURST_MILLIS;
            for (int i = 0; i < BURST_CLIENTS; i++) {
                start(a, 0x3000 + i, BODY_BYTES, 1_000, large, end, 0);
            }
        }
        for (int i = 0; i < 14; i++) {
            record.line("readiness of %s: %d", a.name, a.ready());
            sleep(1_000);
        }
        over = true;
        sleep(PATIENCE_MILLIS + 1_500);
        record.line("small requests: %s", small);
        record.line("large requests: %s", large);
        record.line("%s: process alive %s, readiness %d", a.name, a.alive(), a.ready());
        record.line("its state, %s", a.state().replaceAll(", servers=.*", ""));
        configure(8, route("r-s989anu", "/puka111/", "unsafe", service, TIMEOUT_MILLIS) + ","
                + route("r-new", "/nova22/", "unsafe", service, TIMEOUT_MILLIS), service);
        long acknowledged = System.currentTimeMillis();
        for (Node node : nodes) {
            Http.Message answer = null;
            while (System.currentTimeMillis() - acknowledged < 8_000) {
                try {
                    answer = Http.once(node.calls(), head("POST", "/nova22/2f", "eeee" + System.nanoTime(), 1_000),
                            new byte[10], 3_000);
                } catch (IOException e) {
                    record.line("request to %s long after the burst: %s", node.name, e);
                }
                if (answer != null && answer.status() != 404) {
                    break;
                }
                sleep(100);
            }
            record.line("%s follows after %d ms: %s", node.name, System.currentTimeMillis() - acknowledged, describe(answer));
        }
        int atTimeout = small.atTimeout.get() + large.atTimeout.get();
        int late = small.halfASecondLater.get() + large.halfASecondLater.get();
        record.line("%d requests without an answer at timeout_ms, %d of them half a second later too", atTimeout, late);
        return (atTimeout >= MIN_REQUESTS && late * 2 > atTimeout) || !a.alive() ? BROKEN : HELD;
    }

    private void start(Node node, int client, int bytes, int period, Tally tally, long end, int delay) {
        Thread thread = new Thread(() -> {
            sleep(delay);
            client(node, client, bytes, period, tally, end);
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** One client on a kept connection, with one request each period. */
    private void client(Node node, int client, int bytes, int period, Tally tally, long end) {
        int n = 0;
        Http.Connection connection = null;
        while (!over && System.currentTimeMillis() < end) {
            String attempt = String.format("%04x%012x", client, ++n);
            long begun = System.currentTimeMillis();
            // A request that was never sent whole is not counted by the time of its answer.
            long sentMillis = Long.MAX_VALUE;
            try {
                if (connection == null) {
                    connection = new Http.Connection(node.calls(), PATIENCE_MILLIS);
                }
                tally.sent.incrementAndGet();
                connection.send(head("POST", "/puka111/2f", attempt, TIMEOUT_MILLIS), new byte[bytes]);
                sentMillis = System.currentTimeMillis();
                Http.Message answer = connection.receive();
                if (answer == null) {
                    throw new IOException("connection closed");
                }
                tally.ended(describe(answer), System.currentTimeMillis() - sentMillis);
                if ("close".equals(answer.header("Connection"))) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                boolean ran = servers.stream().anyMatch(s -> s.ran(attempt));
                tally.ended(e.getMessage() + (ran ? ", though it ran" : ""), System.currentTimeMillis() - sentMillis);
                if (ran) {
                    tally.ranUnanswered.incrementAndGet();
                }
                record.line("request %s of %d bytes: %s after %d ms, has run: %s", attempt, bytes, e.getMessage(),
                        System.currentTimeMillis() - begun, ran);
                if (connection != null) {
                    connection.close();
                    connection = null;
                }
            }
            sleep(Math.max(0, begun + period - System.currentTimeMillis()));
        }
        if (connection != null) {
            connection.close();
        }
    }
}
