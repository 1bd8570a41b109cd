import java.io.IOException;

/**
 * Clients send requests that list a header in {@code Connection}. Which caller's service does the
 * worker see?
 */
final class CallerService extends Case {
    public static void main(String[] args) throws Exception {
        run(new CallerService(), args);
    }

    @Override
    int play() throws Exception {
        String called = "wuno96b";
        String caller = "huvo11a";
        configure(7, route("r-s989anu", "/puka111/", "unsafe", called, 1_000), called, caller);
        Server one = new Server("i-7f3a91c2", called, 6, 20, 0);
        Server two = new Server("i-02d9e6b4", caller, 6, 20, 0);
        Node a = add("sidecar-pt-centro-a-1", "pt-centro-a", one);
        Node b = add("sidecar-pt-centro-b-1", "pt-centro-b", two);
        if (!awaitAllReady()) {
            return NOT_RUN;
        }
        sleep(4_000);
        for (int i = 0; i < 20; i++) {
            Node node = i % 2 == 0 ? a : b;
            String connection = trouble ? "keep-alive, X-Caller-Service" : "keep-alive";
            String sent = head("POST", "/puka111/2f", String.format("%016x", i), 1_000) + "Connection: " + connection
                    + "\r\nX-Caller-Service: forged\r\n";
            try {
                record.line("request %016x at %s, Connection: %s: %s", i, node.name, connection,
                        describe(Http.once(node.calls(), sent, new byte[100], 2_000)));
            } catch (IOException e) {
                record.line("request %016x: %s", i, e);
            }
        }
        int broken = 0;
        for (Server.Run run : one.runs) {
            int i = Integer.parseInt(run.request().header("X-Attempt-Id"), 16);
            String expected = i % 2 == 0 ? called : caller;
            String seen = run.request().header("X-Caller-Service");
            record.line(run.atMillis(), "%s ran %016x with X-Caller-Service: %s (began beside %s)", run.server(), i, seen, expected);
            if (!expected.equals(seen)) {
                broken++;
            }
        }
        record.line("%d requests ran, %d with another caller's service or none", one.runs.size(), broken);
        return one.runs.isEmpty() ? NOT_RUN : broken > 0 ? BROKEN : HELD;
    }
}
