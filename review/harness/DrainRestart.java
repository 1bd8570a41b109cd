import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker leaves by deregistering first, and serves on for a while. The node beside it is stopped
 * and started again, and a heartbeat of the worker from before arrives late. Does the worker get
 * requests?
 */
final class DrainRestart extends Case {
    private static final int DRAIN_MILLIS = 2_000;
    private static final int STABILITY_MILLIS = 3_000;

    private final AtomicInteger requests = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        run(new DrainRestart(), args);
    }

    @Override
    int play() throws Exception {
        String service = "wuno96b";
        configure(7, route("r-s989anu", "/puka111/", "unsafe", service, 1_000), service);
        Server leaver = new Server("i-7f3a91c2", service, 6, 60, 0);
        Server other = new Server("i-02d9e6b4", service, 6, 60, 0);
        Node a = add("sidecar-pt-centro-a-1", "pt-centro-a", leaver);
        Node b = add("sidecar-pt-centro-b-1", "pt-centro-b", other);
        if (!awaitAllReady()) {
            return NOT_RUN;
        }
        sleep(4_000);
        clients(3_000);
        record.line("before: %d runs at %s, %d at %s", leaver.runs.size(), leaver.id, other.runs.size(), other.id);

        // The heartbeat that arrives late: sent before the worker leaves.
        String late = leaver.heartbeat("pt-centro-a");
        silence(leaver);
        sleep(500);
        leaver.leaving = true;
        int status = leaver.deregister(a.control());
        long acknowledged = System.currentTimeMillis();
        record.line("worker %s deregistered at its node: %d; it serves on", leaver.id, status);
        if (status != 200) {
            return NOT_RUN;
        }
        sleep(DRAIN_MILLIS);
        if (trouble) {
            record.line("SIGTERM to node %s", a.name);
            a.terminate();
            record.line("node ended, status %d; it is started again", a.exitValue());
            a.start();
            if (!a.awaitReady(30)) {
                return NOT_RUN;
            }
            record.line("node %s is ready", a.name);
        } else {
            sleep(5_000);
        }
        record.line("the late heartbeat of %s arrives: %d", leaver.id, leaver.sendHeartbeat(a.control(), late));
        sleep(STABILITY_MILLIS + 500);
        record.line("both nodes have been in touch for stability_window_ms; clients send again");
        long from = System.currentTimeMillis();
        clients(4_000);
        int broken = 0;
        for (Server.Run run : leaver.runs) {
            if (run.atMillis() >= from) {
                broken++;
                record.line(run.atMillis(), "%s ran %s, %d ms after the acknowledgement of its leaving", leaver.id,
                        run.request().header("X-Attempt-Id"), run.atMillis() - acknowledged);
            }
        }
        record.line("%d requests sent, %d reached the worker that had left", requests.get(), broken);
        return broken > 0 ? BROKEN : HELD;
    }

    /** Clients of both nodes send for a while, one request each 50 ms. */
    private void clients(int millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        Thread[] threads = new Thread[nodes.size()];
        for (int i = 0; i < threads.length; i++) {
            Node node = nodes.get(i);
            threads[i] = new Thread(() -> {
                while (System.currentTimeMillis() < end) {
                    String attempt = String.format("%016x", requests.incrementAndGet());
                    try {
                        Http.Message answer = Http.once(node.calls(), head("POST", "/puka111/2f", attempt, 1_000),
                                new byte[300], 2_000);
                        record.line("request %s at %s: %s", attempt, node.name, describe(answer));
                    } catch (IOException e) {
                        record.line("request %s at %s: %s", attempt, node.name, e);
                    }
                    sleep(50);
                }
            });
            threads[i].start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
