package dev.zinniaring.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A backend server whose answers are drawn from a seed: some carry no call id, are cut or garbled,
 * or come again, at once, late, before the next answer, in two parts or with another status.
 */
final class StutteringServer implements AutoCloseable {
    /** Header that tells the runs of a call apart, which the nodes do not know. */
    static final String RUN = "X-Run";

    private static final int[] STATUSES = {200, 200, 200, 200, 500, 503, 504};
    private static final List<String> JUNK = List.of("\r\n", "\n\n", "\0", " ", "\t\r\n", "junk");
    private static final int MAX_LATE_MILLIS = 5;

    /**
     * One run of a call.
     *
     * @param valid whether the answer was sent whole and as the protocol asks
     */
    record Run(int status, String body, boolean valid) {}

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final long seed;

    StutteringServer(long seed) throws IOException {
        this.seed = seed;
        threads.execute(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns what was done for the request with the given call id and value of {@link #RUN}. */
    List<Run> runs(String callId, int run) {
        return runs.getOrDefault(callId + "/" + run, List.of());
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        String due = "";
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            for (String head = RawServer.readHead(in); head != null; ) {
                String callId = RawServer.header(head, "Zinniaring-Call-Id");
                String name = callId + "/" + RawServer.header(head, RUN);
                Random random = new Random(seed + 31L * name.hashCode());
                String body = name + "x".repeat(random.nextInt(40));
                int status = STATUSES[random.nextInt(STATUSES.length)];
                boolean named = status == 200 || random.nextInt(10) >= 3;
                String answer = answer(random, status, named ? callId : null, body);
                int fault = random.nextInt(10);
                String sent = fault == 0 ? garbled(random, answer) : answer;
                boolean cut = fault == 1;
                runs.computeIfAbsent(name, key -> new CopyOnWriteArrayList<>())
                        .add(new Run(status, body, fault > 1));
                if (cut) {
                    write(out, due + answer.substring(0, random.nextInt(answer.length())));
                    return;
                }
                String copy = copy(random, callId, status, body, answer);
                int at = random.nextInt(8);
                int half = random.nextInt(copy.length());
                write(out, due + sent + (at == 0 ? copy : at == 1 ? copy.substring(0, half) : ""));
                if (at == 2) {
                    TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_LATE_MILLIS));
                    write(out, copy);
                }
                due = at == 1 ? copy.substring(half) : at == 3 || at == 4 ? copy : "";
                head = RawServer.readHead(in);
            }
        } catch (IOException e) {
            // The node closes connections on which it receives unexpected bytes.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String garbled(Random random, String answer) {
        if (random.nextBoolean()) {
            return JUNK.get(random.nextInt(JUNK.size())) + answer;
        }
        String line = answer.substring(0, "HTTP/1.1 200".length());
        List<String> lines =
                List.of("HTTP/1.2 200", "HTTP/1.1 2000", "HTTP/1.1 +20", "ICY 200", "http/1.1 200");
        return lines.get(random.nextInt(lines.size())) + answer.substring(line.length());
    }

    private static String copy(
            Random random, String callId, int status, String body, String answer) {
        return switch (random.nextInt(3)) {
            case 0 -> answer(random, status == 200 ? 503 : 200, callId, body);
            case 1 -> answer(random, status, null, body);
            default -> answer;
        };
    }

    private static String answer(Random random, int status, String callId, String body) {
        String id = callId == null ? "" : "Zinniaring-Call-Id: " + callId + "\r\n";
        String framed =
                random.nextBoolean()
                        ? "Content-Length: " + body.length() + "\r\n\r\n" + body
                        : "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
                                .formatted(body.length(), body);
        return "HTTP/1.1 " + status + " S\r\n" + id + framed;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        threads.shutdownNow();
    }
}
