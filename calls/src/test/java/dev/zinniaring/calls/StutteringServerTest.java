package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays a server that answers twice, late, without ids, in part or behind other bytes, to callers
 * on kept and new connections that send some ids again. Each answer names its run in its body.
 */
class StutteringServerTest {
    private static final int CALLERS = 4;
    private static final int CALLS = 80;
    private static final int TIMEOUT_MILLIS = 10_000;

    /** What follows or precedes an answer. */
    private enum Stutter {
        NONE,
        COPY_AT_ONCE,
        COPY_LATE,
        COPY_BEFORE_NEXT,
        OTHER_STATUS_LATE,
        UNNAMED_COPY_LATE,
        UNNAMED_COPY_BEFORE_NEXT,
        UNNAMED,
        CUT,
        JUNK_BEFORE,
        SPOILT_STATUS_LINE;

        /** Returns whether the bytes are a complete answer, and one that can be told as such. */
        boolean proper() {
            return this != CUT && this != JUNK_BEFORE && this != SPOILT_STATUS_LINE;
        }
    }

    private static final class Server implements AutoCloseable {
        private final ServerSocket port = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final ExecutorService threads = Executors.newCachedThreadPool();
        private final Random random;
        private final AtomicInteger runs = new AtomicInteger();
        private final AtomicInteger delivered = new AtomicInteger();

        /** Whether a run ended in a proper answer, by the body that names it. */
        private final Map<String, Boolean> answered = new ConcurrentHashMap<>();

        Server(long seed) throws IOException {
            random = new Random(seed);
            threads.execute(this::accept);
        }

        private synchronized int draw(int bound) {
            return random.nextInt(bound);
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = port.accept();
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
                for (String head = ScriptedServer.head(in); head != null; ) {
                    Stutter[] all = Stutter.values();
                    Stutter stutter = all[draw(2) == 0 ? 0 : draw(all.length)];
                    int status = draw(3) == 0 ? 500 : 200;
                    String id = ScriptedServer.header(head, "Zinniaring-Call-Id");
                    String run = id + "/" + runs.incrementAndGet() + "/" + status;
                    answered.put(run, stutter.proper());
                    String answer = answer(status, id, run, stutter);
                    write(socket, due + answer);
                    if (stutter == Stutter.CUT) {
                        return;
                    }
                    due = late(socket, stutter, status, id, run);
                    head = ScriptedServer.head(in);
                }
            } catch (IOException e) {
                // The node closes connections on which it finds bytes of no answer.
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Returns how many runs of a call have begun since a number of runs had. */
        private long runsSince(int before, String id) {
            return answered.keySet().stream()
                    .map(run -> run.split("/"))
                    .filter(run -> run[0].equals(id) && Integer.parseInt(run[1]) > before)
                    .count();
        }

        /** Sends what comes late, and returns what comes before the next answer. */
        private String late(Socket socket, Stutter stutter, int status, String id, String run)
                throws IOException, InterruptedException {
            String copy = answer(status, id, run, Stutter.NONE);
            switch (stutter) {
                case COPY_LATE -> writeLate(socket, copy);
                case OTHER_STATUS_LATE ->
                        writeLate(socket, answer(700 - status, id, run + "!", Stutter.NONE));
                case UNNAMED_COPY_LATE -> writeLate(socket, unnamed(copy));
                case COPY_BEFORE_NEXT -> {
                    return copy;
                }
                case UNNAMED_COPY_BEFORE_NEXT -> {
                    return unnamed(copy);
                }
                default -> {}
            }
            return "";
        }

        private String answer(int status, String id, String run, Stutter stutter) {
            String whole =
                    "HTTP/1.1 %d Reason\r\nZinniaring-Call-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
                            .formatted(status, id, run.length(), run);
            return switch (stutter) {
                case COPY_AT_ONCE -> whole + whole;
                case UNNAMED -> status == 500 ? unnamed(whole) : whole;
                case CUT -> whole.substring(0, draw(whole.length()));
                case JUNK_BEFORE -> List.of("\r\n", " ", "\u0001", "junk").get(draw(4)) + whole;
                case SPOILT_STATUS_LINE ->
                        whole.replace(
                                "HTTP/1.1 ",
                                List.of("HTTP/1.1  ", "HTTP/2.1 ", "HTTP/1.1 +").get(draw(3)));
                default -> whole;
            };
        }

        private static String unnamed(String answer) {
            return answer.replaceFirst("Zinniaring-Call-Id: [^\r]*\r\n", "");
        }

        private void writeLate(Socket socket, String text)
                throws IOException, InterruptedException {
            TimeUnit.MILLISECONDS.sleep(draw(8));
            int split = draw(text.length());
            write(socket, text.substring(0, split));
            TimeUnit.MILLISECONDS.sleep(draw(3));
            write(socket, text.substring(split));
        }

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void close() throws IOException {
            port.close();
            threads.shutdownNow();
        }
    }

    /** Sends calls one after the other and returns what is wrong with their answers. */
    private static List<String> play(Server server, int port, int caller, Random random)
            throws IOException {
        List<String> wrong = new ArrayList<>();
        Socket socket = null;
        for (int i = 0; i < CALLS; i++) {
            String id = "c" + caller + "-" + (random.nextInt(3) == 0 ? i / 4 * 4 : i);
            if (socket == null || random.nextInt(4) == 0) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(TIMEOUT_MILLIS);
            }
            String method = random.nextBoolean() ? "GET /safe/x" : "POST /once/x";
            String request =
                    "%s HTTP/1.1\r\nHost: h\r\nZinniaring-Call-Id: %s\r\nContent-Length: 0\r\n\r\n"
                            .formatted(method, id);
            int runsBefore = server.runs.get();
            Server.write(socket, request);
            String head = ScriptedServer.head(socket.getInputStream());
            if (head == null) {
                wrong.add(id + " was not answered");
                socket = null;
                continue;
            }
            int length = Integer.parseInt(ScriptedServer.header(head, "Content-Length"));
            String body =
                    new String(
                            socket.getInputStream().readNBytes(length),
                            StandardCharsets.ISO_8859_1);
            String status = head.split(" ")[1];
            if (!isRight(server, id, status, body, runsBefore)) {
                wrong.add("%s got %s %s".formatted(id, status, body));
            }
            long runs = server.runsSince(runsBefore, id);
            if (method.startsWith("POST") && (runs > 1 || (runs > 0 && isRefusal(status, body)))) {
                wrong.add("%s got %s after %d runs".formatted(id, status, runs));
            }
            server.delivered.addAndGet(body.isEmpty() ? 0 : 1);
            if (ScriptedServer.header(head, "Connection").equalsIgnoreCase("close")) {
                socket.close();
                socket = null;
            }
        }
        return wrong;
    }

    private static boolean isRefusal(String status, String body) {
        return body.isEmpty() && status.equals("503");
    }

    /** Returns whether an answer is the node's own failure, or the one of a run since the send. */
    private static boolean isRight(
            Server server, String id, String status, String body, int runsBefore) {
        if (body.isEmpty()) {
            return status.startsWith("5");
        }
        String[] run = body.split("/");
        return run.length == 3
                && run[0].equals(id)
                && run[2].equals(status)
                && Integer.parseInt(run[1]) > runsBefore
                && server.answered.getOrDefault(body, false);
    }

    /** Guards against answers of other calls, of earlier runs, and bytes that are no answer. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void everyAnswerIsTheOneThatTheServerGaveToThisRunOfTheCall(long seed) throws Exception {
        try (Server server = new Server(seed);
                OneServerMesh mesh =
                        new OneServerMesh(
                                (InetSocketAddress) server.port.getLocalSocketAddress(), CALLERS)) {
            List<Future<List<String>>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                int caller = i;
                Random random = new Random(seed * CALLERS + i);
                callers.add(server.threads.submit(() -> play(server, mesh.port(), caller, random)));
            }
            List<String> wrong = new ArrayList<>();
            for (Future<List<String>> caller : callers) {
                wrong.addAll(caller.get(60, TimeUnit.SECONDS));
            }
            assertThat(wrong).isEmpty();
            assertThat(server.delivered).hasValueGreaterThan(CALLERS * CALLS / 3);
        }
    }
}
