package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the size limits and timeouts for requests from clients. */
class HttpListenerTest {
    private static final ClientLimits LIMITS = new ClientLimits(1_024, 100, 300, 10_000);
    private static final int WAIT_MILLIS = 5_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private HttpListener listener;

    @BeforeEach
    void listen() throws KernelException {
        listener =
                new HttpListener(
                        group,
                        Clock.system(),
                        () -> LIMITS,
                        exchange -> exchange.answer(Answer.of(200)));
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Socket open() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.address().getPort());
        socket.setSoTimeout(WAIT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String status(Socket socket) throws IOException {
        InputStreamReader reader =
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1);
        return new BufferedReader(reader).readLine();
    }

    /**
     * Without the timeout, clients that send a head byte by byte could hold connections forever.
     */
    @Test
    void aHeadThatArrivesTooSlowlyIsRejected() throws IOException {
        try (Socket socket = open()) {
            send(socket, "GET /x HTTP/1.1\r\nHost: ");
            assertThat(status(socket)).startsWith("HTTP/1.1 408");
        }
    }

    @Test
    void aHeadInPiecesWithinTheTimeoutIsAccepted() throws Exception {
        try (Socket socket = open()) {
            send(socket, "GET /x HTTP/1.1\r\n");
            TimeUnit.MILLISECONDS.sleep(100);
            send(socket, "Host: h\r\n\r\n");
            assertThat(status(socket)).startsWith("HTTP/1.1 200");
        }
    }

    /** The header timeout must not run while a keep-alive connection is idle. */
    @Test
    void aConnectionMayBeIdleForLongerThanTheHeaderTimeout() throws Exception {
        try (Socket socket = open()) {
            send(socket, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(status(socket)).startsWith("HTTP/1.1 200");
            TimeUnit.MILLISECONDS.sleep(2L * LIMITS.headerTimeoutMillis());
            send(socket, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(status(socket)).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void aHeadAboveTheSizeLimitIsRejected() throws IOException {
        try (Socket socket = open()) {
            send(socket, "GET /x HTTP/1.1\r\nHost: h\r\nA: " + "a".repeat(1_024) + "\r\n\r\n");
            assertThat(status(socket)).startsWith("HTTP/1.1 431");
        }
    }

    /** A request within the limits must not be rejected because a node has added headers. */
    @Test
    void peerLimitsLeaveSpaceForTheHeadersThatNodesAdd() {
        assertThat(LIMITS.forPeers().maxHeaderBytes()).isGreaterThan(LIMITS.maxHeaderBytes());
        assertThat(new ClientLimits(Integer.MAX_VALUE, 1, 1, 1).forPeers().maxHeaderBytes())
                .isEqualTo(Integer.MAX_VALUE);
    }
}
