package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a node with the heap of the deployment under many long bodies at once. */
class BurstOfBodiesTest {
    private static final int WAIT_MILLIS = 20_000;
    private static final int LONG_CLIENTS = 41;
    private static final int LONG_REQUESTS = 4;
    private static final int LONG_BYTES = 1_280 << 10;
    private static final int SHORT_CLIENTS = 6;
    private static final int SHORT_REQUESTS = 40;
    private static final int SERVER_MILLIS = 50;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private ServerSocket server;
    private Process node;
    private int port;

    @BeforeEach
    void startNode() throws IOException {
        server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
        node =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xms16m",
                                "-Xmx28m",
                                "-Xmn8m",
                                "-XX:+UseSerialGC",
                                "-XX:+ExitOnOutOfMemoryError",
                                "-XX:MaxDirectMemorySize=32m",
                                "-Dio.netty.allocator.type=unpooled",
                                "-Dio.netty.noPreferDirect=true",
                                "-cp",
                                System.getProperty(
                                        "surefire.test.class.path",
                                        System.getProperty("java.class.path")),
                                EndlessAnswerNode.class.getName(),
                                String.valueOf(server.getLocalPort()))
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        port =
                Integer.parseInt(
                        new BufferedReader(
                                        new InputStreamReader(
                                                node.getInputStream(), StandardCharsets.UTF_8))
                                .readLine());
    }

    @AfterEach
    void stopNode() throws IOException {
        node.destroyForcibly();
        server.close();
        threads.shutdownNow();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            String head = ScriptedServer.head(socket.getInputStream());
            while (head != null) {
                int length = Integer.parseInt(ScriptedServer.header(head, "Content-Length"));
                socket.getInputStream().skipNBytes(length);
                Thread.sleep(SERVER_MILLIS);
                String id = ScriptedServer.header(head, "Zinniaring-Call-Id");
                write(
                        socket,
                        "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: "
                                + id
                                + "\r\nContent-Length: 0\r\n\r\n");
                head = ScriptedServer.head(socket.getInputStream());
            }
        } catch (IOException | InterruptedException e) {
            // The node has closed the connection.
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String call(String id, int bodyBytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(WAIT_MILLIS);
            write(
                    socket,
                    "POST /p HTTP/1.1\r\nHost: h\r\nZinniaring-Call-Id: %s\r\nContent-Length: %d\r\n\r\n"
                            .formatted(id, bodyBytes));
            socket.getOutputStream().write(new byte[bodyBytes]);
            String head = ScriptedServer.head(socket.getInputStream());
            return head == null ? "closed" : head.split(" ")[1];
        } catch (IOException e) {
            return e.toString();
        }
    }

    private Future<List<String>> client(String name, int requests, int bodyBytes) {
        Callable<List<String>> client =
                () -> {
                    List<String> statuses = new ArrayList<>();
                    for (int i = 0; i < requests; i++) {
                        statuses.add(call(name + "-" + i, bodyBytes));
                    }
                    return statuses;
                };
        return threads.submit(client);
    }

    /** Bodies below the limit used to fill the heap and to stop the node for all its callers. */
    @Test
    void aBurstOfLongBodiesIsAnsweredAndDoesNotDisturbShortCalls() throws Exception {
        List<Future<List<String>>> longClients = new ArrayList<>();
        List<Future<List<String>>> shortClients = new ArrayList<>();
        for (int i = 0; i < LONG_CLIENTS; i++) {
            longClients.add(client("long" + i, LONG_REQUESTS, LONG_BYTES));
        }
        for (int i = 0; i < SHORT_CLIENTS; i++) {
            shortClients.add(client("short" + i, SHORT_REQUESTS, SHORT_CLIENTS));
        }
        for (Future<List<String>> client : shortClients) {
            assertThat(client.get()).containsOnly("200");
        }
        int served = 0;
        for (Future<List<String>> client : longClients) {
            assertThat(client.get()).isSubsetOf("200", "503");
            served += client.get().contains("200") ? 1 : 0;
        }
        assertThat(served).isPositive();
        assertThat(node.isAlive()).isTrue();
    }
}
