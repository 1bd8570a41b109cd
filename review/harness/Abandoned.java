import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients send idempotent requests with bodies and leave before their deadline. Do the workers go on,
 * and do they get the requests that had not reached them yet?
 */
final class Abandoned extends Case {
    private static final int BODY_BYTES = 300 << 10;

    /** 12 of these leave, 0.3 of them; each other client's request is unsafe. */
    private static final int CLIENTS = 40;

    private static boolean leaves(int client) {
        return client % 10 >= 7;
    }

    private static final int SLOTS = 6;
    private static final int WORK_MILLIS = 900;
    private static final int DEADLINE_MILLIS = 8_000;

    /** "More than a few requests". */
    private static final int FEW = 3;

    public static void main(String[] args) throws Exception {
        run(new Abandoned(), args);
    }

    private static boolean safe(int client) {
        return client % 2 == 0;
    }

    private void send(Http.Connection connection, int client, int bytes) throws IOException {
        String head = safe(client)
                ? head("PUT", "/leny950/2f", String.format("%016x", client), DEADLINE_MILLIS)
                : head("POST", "/puka111/2f", String.format("%016x", client), DEADLINE_MILLIS);
        connection.send(head, new byte[bytes]);
        record.line("request %016x sent, %s, %d bytes", client, safe(client) ? "safe" : "unsafe", bytes);
    }

    @Override
    int play() throws Exception {
        String service = "huvo11a";
        configure(7, route("r-n2ctnfz", "/leny950/", "safe", service, DEADLINE_MILLIS, 6_000) + ","
                + route("r-s989anu", "/puka111/", "unsafe", service, DEADLINE_MILLIS, 6_000), service);
        Node a = add("sidecar-pt-centro-a-1", "pt-centro-a", new Server("i-7f3a91c2", service, SLOTS, WORK_MILLIS, 0));
        add("sidecar-pt-centro-b-1", "pt-centro-b", new Server("i-02d9e6b4", service, SLOTS, WORK_MILLIS, 0));
        if (!awaitAllReady()) {
            return NOT_RUN;
        }
        sleep(4_000);
        List<Http.Connection> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            record.line("before, as the node knows no run time yet: %s", describe(Http.once(a.calls(),
                    head("PUT", "/leny950/2f", "f" + i, DEADLINE_MILLIS), new byte[300], DEADLINE_MILLIS)));
        }
        for (int i = 0; i < CLIENTS; i++) {
            Http.Connection client = new Http.Connection(a.calls(), DEADLINE_MILLIS + 2_000);
            send(client, i, leaves(i) ? BODY_BYTES : 300);
            clients.add(client);
        }
        sleep(300);
        long left = System.currentTimeMillis();
        if (trouble) {
            for (int i = 0; i < CLIENTS; i++) {
                if (leaves(i)) {
                    clients.get(i).close();
                }
            }
            record.line("0.3 of the %d clients have closed their connections", CLIENTS);
        }
        int served = 0;
        for (int i = 0; i < CLIENTS; i++) {
            if (trouble && leaves(i)) {
                continue;
            }
            Http.Message answer = clients.get(i).receive();
            record.line("answer of %016x: %s", i, describe(answer));
            served += answer != null && answer.status() == 200 ? 1 : 0;
            clients.get(i).close();
        }
        sleep(Math.max(0, left + DEADLINE_MILLIS - System.currentTimeMillis()));
        int atWork = 0;
        int longer = 0;
        int arrived = 0;
        for (Server server : servers) {
            for (Server.Run run : server.runs) {
                String attempt = run.request().header("X-Attempt-Id");
                int client = attempt.startsWith("f") ? 0 : Integer.parseInt(attempt, 16);
                if (!leaves(client)) {
                    continue;
                }
                long began = run.atMillis() - left;
                long ended = run.endedMillis()[0] - left;
                record.line(run.atMillis(), "%s began %016x (%s), %d ms after its client had left; %s at %d ms", server.id,
                        client, safe(client) ? "safe" : "unsafe", began, run.end()[0], ended);
                if (began > 500) {
                    arrived++;
                }
                if (safe(client) && began + WORK_MILLIS > 500) {
                    longer++;
                    atWork += ended > 500 ? 1 : 0;
                }
            }
        }
        record.line("%d requests served", served);
        if (!trouble) {
            return served > CLIENTS / 2 ? HELD : NOT_RUN;
        }
        record.line("of the requests whose clients had left, %d reached a worker over half a second later; workers were at"
                + " work half a second later on %d of %d safe ones", arrived, atWork, longer);
        return served < CLIENTS / 4 ? NOT_RUN : arrived > FEW || atWork * 4 > longer ? BROKEN : HELD;
    }
}
