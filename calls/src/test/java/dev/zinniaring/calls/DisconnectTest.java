package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a listener notices clients that leave while their requests are unanswered. */
class DisconnectTest {
    private static final int WAIT_SECONDS = 5;

    /** More than the listener reads ahead of a request that waits. */
    private static final int PIPELINED_BYTES = 32 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<Exchange> exchanges = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
    private HttpListener listener;

    @BeforeEach
    void listen() throws KernelException {
        listener =
                new HttpListener(group, Clock.system(), () -> ClientLimits.DEFAULT, this::handle);
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void handle(Exchange exchange) {
        exchange.onCancel(() -> cancelled.add(exchange.target()));
        exchanges.add(exchange);
    }

    private Socket open() throws IOException {
        return open(listener.address().getPort());
    }

    private static Socket open(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(WAIT_SECONDS * 1_000);
        return socket;
    }

    private static void post(Socket socket, String target, int bodyBytes) throws IOException {
        String head =
                "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
                        .formatted(target, bodyBytes);
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(new byte[bodyBytes]);
    }

    private @Nullable Exchange request() throws InterruptedException {
        return exchanges.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private @Nullable String cancellation() throws InterruptedException {
        return cancelled.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** A backend server would otherwise work for clients that have left. */
    @ParameterizedTest
    @ValueSource(ints = {0, 300, 300 << 10, 3 << 20})
    void aClientThatLeavesIsNoticedWhateverTheSizeOfItsBody(int bodyBytes) throws Exception {
        try (Socket socket = open()) {
            post(socket, "/left", bodyBytes);
            assertThat(request()).isNotNull();
        }
        assertThat(cancellation()).isEqualTo("/left");
    }

    /** Bodies of other clients must not delay the notice. */
    @Test
    void aClientThatLeavesIsNoticedWhileTheNodeHoldsManyBodies() throws Exception {
        try (Socket other = open()) {
            post(other, "/other", 4 << 20);
            assertThat(request()).isNotNull();
            try (Socket socket = open()) {
                post(socket, "/left", 300);
                assertThat(request()).isNotNull();
            }
            assertThat(cancellation()).isEqualTo("/left");
        }
    }

    @Test
    void aClientThatLeavesIsNoticedBehindRequestsThatWait() throws Exception {
        try (Socket socket = open()) {
            post(socket, "/left", 300 << 10);
            assertThat(request()).isNotNull();
            post(socket, "/next", 300);
            post(socket, "/last", 300);
        }
        assertThat(cancellation()).isEqualTo("/left");
        assertThat(exchanges).isEmpty();
    }

    /** A call that waits at the node of its server must not run once its client has left. */
    @Test
    void aCallWithALongBodyLeavesTheQueueWithItsClient() throws Exception {
        try (ScriptedServer server = new ScriptedServer();
                OneServerMesh mesh = new OneServerMesh(server.address(), 1);
                Socket running = open(mesh.port())) {
            post(running, "/once/hang", 0);
            assertThat(server.request()).contains("/once/hang");
            try (Socket waiting = open(mesh.port())) {
                post(waiting, "/once/left", 300 << 10);
                awaitWaiting(mesh, 1);
            }
            awaitWaiting(mesh, 0);
            assertThat(server.requests).isEmpty();
        }
    }

    /** Waits until calls wait for the server while one is running. */
    private static void awaitWaiting(OneServerMesh mesh, int count) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        List<Integer> load = List.of();
        List<Integer> expected = List.of(1, count);
        while (!load.equals(expected) && System.nanoTime() < endNanos) {
            load =
                    mesh.group
                            .submit(() -> List.of(mesh.owner.running(), mesh.owner.waiting()))
                            .get();
        }
        assertThat(load).as("calls that run and that wait").isEqualTo(expected);
    }

    /** Reading on must not let one client fill the memory of the node. */
    @Test
    void aClientThatSendsMoreThanIsReadAheadHasToWait() throws Exception {
        try (Socket socket = open()) {
            post(socket, "/first", 300 << 10);
            Exchange first = request();
            assertThat(first).isNotNull();
            Thread sender =
                    new Thread(
                            () -> {
                                try {
                                    for (int sent = 0; sent < PIPELINED_BYTES; sent += 1 << 20) {
                                        post(socket, "/next", 1 << 20);
                                    }
                                } catch (IOException e) {
                                    exchanges.clear();
                                }
                            });
            sender.setDaemon(true);
            sender.start();
            sender.join(500);
            assertThat(sender.isAlive()).isTrue();
            assertThat(exchanges).isEmpty();
            group.execute(() -> first.answer(Answer.of(200)));
            for (int sent = 0; sent < PIPELINED_BYTES; sent += 1 << 20) {
                Exchange next = request();
                assertThat(next).isNotNull();
                assertThat(next.body()).hasSize(1 << 20);
                group.execute(() -> next.answer(Answer.of(200)));
            }
        }
    }
}
