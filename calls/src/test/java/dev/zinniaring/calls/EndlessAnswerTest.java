package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests a node with the heap of the deployment against backend servers whose answers do not end. In
 * each case the call must fail as one that may have run, the node must close the connection, and
 * other calls must be answered.
 */
class EndlessAnswerTest {
    private static final int WAIT_SECONDS = 20;
    private static final String OK = "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: c\r\n";

    /** Bytes that a server of this test sends at most, several times the heap of the node. */
    private static final long MAX_SENT_BYTES = 200L * 1024 * 1024;

    private final BlockingQueue<String> closes = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private Process node;
    private int port;

    @BeforeEach
    void startNode() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
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
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Answers the requests of a connection; the path names what is repeated without end. */
    private void serve(Socket socket) {
        String path = "";
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("POST ")) {
                    path = line.split(" ")[1];
                } else if (line.isEmpty()) {
                    answer(path, socket.getOutputStream());
                }
            }
        } catch (IOException | InterruptedException e) {
            closes.add(path);
        }
    }

    private static void answer(String path, OutputStream out)
            throws IOException, InterruptedException {
        String chunk = "2000\r\n" + "x".repeat(0x2000) + "\r\n";
        switch (path) {
            case "/chunks" -> repeat(out, OK + "Transfer-Encoding: chunked\r\n\r\n", chunk);
            case "/small-chunks" ->
                    repeat(
                            out,
                            OK + "Transfer-Encoding: chunked\r\n\r\n",
                            "1\r\nx\r\n".repeat(1_000));
            case "/no-length" -> repeat(out, OK + "\r\n", chunk);
            case "/length" -> repeat(out, OK + "Content-Length: 2000000000\r\n\r\n", chunk);
            case "/interim" -> repeat(out, "", "HTTP/1.1 102 Processing\r\n\r\n".repeat(300));
            case "/head" -> repeat(out, OK, "X-More: 1\r\n".repeat(800));
            case "/header-line" -> repeat(out, OK + "X-More: ", "x".repeat(8_000));
            case "/status-line" -> repeat(out, "HTTP/1.1 200 ", "x".repeat(8_000));
            case "/blank-lines" -> repeat(out, "", "\r\n".repeat(4_000));
            case "/chunk-line" ->
                    repeat(out, OK + "Transfer-Encoding: chunked\r\n\r\n1;", "x".repeat(8_000));
            case "/trailers" ->
                    repeat(
                            out,
                            OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                            "X-More: 1\r\n".repeat(800));
            case "/surplus" -> repeat(out, OK + "Content-Length: 2\r\n\r\nok", chunk);
            case "/drip" -> drip(out);
            case "/slow" -> slow(out);
            default -> write(out, OK + "Content-Length: 2\r\n\r\nok");
        }
    }

    private static void repeat(OutputStream out, String start, String more) throws IOException {
        write(out, start);
        for (long sent = 0; sent < MAX_SENT_BYTES; sent += more.length()) {
            write(out, more);
        }
        throw new AssertionError("the node read " + MAX_SENT_BYTES + " bytes");
    }

    private static void drip(OutputStream out) throws IOException, InterruptedException {
        write(out, OK);
        for (int i = 0; i < 200; i++) {
            write(out, "x");
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    /** Sends a body in steps that keep many connections below the limit of a single answer. */
    private static void slow(OutputStream out) throws IOException, InterruptedException {
        write(out, OK + "Content-Length: 2000000000\r\n\r\n");
        while (true) {
            write(out, "x".repeat(4_000));
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private Socket send(String path) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(WAIT_SECONDS * 1_000);
        write(
                socket.getOutputStream(),
                "POST %s HTTP/1.1\r\nHost: h\r\nZinniaring-Call-Id: c\r\nContent-Length: 0\r\n\r\n"
                        .formatted(path));
        return socket;
    }

    private static String status(Socket socket) throws IOException {
        try (socket) {
            String line =
                    new BufferedReader(
                                    new InputStreamReader(
                                            socket.getInputStream(), StandardCharsets.ISO_8859_1))
                            .readLine();
            return line == null ? "closed" : line.split(" ")[1];
        }
    }

    /**
     * The request was sent and no complete answer arrived, so it may have run: the status must not
     * be one that promises the contrary.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/chunks",
                "/small-chunks",
                "/no-length",
                "/length",
                "/interim",
                "/head",
                "/header-line",
                "/status-line",
                "/blank-lines",
                "/chunk-line",
                "/trailers"
            })
    void anAnswerWithoutEndFailsBeforeItFillsTheHeap(String path) throws Exception {
        List<Socket> endless = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            endless.add(send(path));
        }
        for (int i = 0; i < 5; i++) {
            assertThat(status(send("/ok"))).isEqualTo("200");
        }
        for (Socket socket : endless) {
            assertThat(status(socket)).isEqualTo("502");
            assertThat(closes.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(path);
        }
        assertThat(status(send("/ok"))).isEqualTo("200");
        assertThat(node.isAlive()).isTrue();
    }

    /** A server that sends a byte now and then must not hold the call beyond its deadline. */
    @Test
    void anAnswerThatDripsEndsAtTheDeadline() throws Exception {
        Socket dripping = send("/drip");
        assertThat(status(send("/ok"))).isEqualTo("200");
        assertThat(status(dripping)).isEqualTo("504");
        assertThat(closes.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("/drip");
    }

    /** Bytes behind a complete answer belong to no request; the answer itself is delivered. */
    @Test
    void bytesWithoutEndBehindAnAnswerCloseTheConnection() throws Exception {
        assertThat(status(send("/surplus"))).isEqualTo("200");
        assertThat(closes.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("/surplus");
        assertThat(status(send("/ok"))).isEqualTo("200");
    }

    /** Each answer alone is far below the limit of one answer when the heap is full. */
    @Test
    void manyAnswersWithoutEndAtOnceDoNotFillTheHeap() throws Exception {
        List<String> kinds =
                List.of("/slow", "/chunks", "/head", "/slow", "/blank-lines", "/no-length");
        List<Socket> endless = new ArrayList<>();
        for (int i = 0; i < 54; i++) {
            endless.add(send(kinds.get(i % kinds.size())));
        }
        for (int i = 0; i < 20; i++) {
            assertThat(status(send("/ok"))).isEqualTo("200");
        }
        for (Socket socket : endless) {
            assertThat(status(socket)).isIn("502", "504");
        }
        assertThat(status(send("/ok"))).isEqualTo("200");
        assertThat(node.isAlive()).isTrue();
    }
}
