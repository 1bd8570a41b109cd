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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a listener notices clients that leave while their requests are unanswered. */
class DisconnectTest {
    private static final int WAIT_SECONDS = 5;
    private static final int KEPT_CONNECTIONS = 5;

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

    /** The request and the end of its connection both lie in the socket when the node reads it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aCallWhoseClientLeftBeforeItWasReadReachesNoServer(boolean beside) throws Exception {
        try (ScriptedServer server = new ScriptedServer();
                OneServerMesh mesh = new OneServerMesh(server.address(), 20, beside)) {
            openKeptConnections(server, mesh);
            CountDownLatch blocked = block(mesh.group);
            for (int i = 0; i < KEPT_CONNECTIONS; i++) {
                try (Socket socket = open(mesh.port())) {
                    get(socket, "/safe/hang", "left-" + i);
                }
            }
            blocked.countDown();
            awaitNoConnections(mesh.entryPort, mesh.group);
            assertThat(server.requests.poll(300, TimeUnit.MILLISECONDS)).isNull();
        }
    }

    /** The slot gets free in the same round of the event loop in which the callers' ends arrive. */
    @Test
    void aWaitingCallWhoseClientLeftGetsNoSlot() throws Exception {
        try (ScriptedServer server = new ScriptedServer();
                OneServerMesh mesh = new OneServerMesh(server.address(), 1, true);
                Socket running = open(mesh.port())) {
            get(running, "/safe/x", "running");
            assertThat(server.request()).contains("/safe/x");
            CountDownLatch blocked;
            try (Socket waiting = open(mesh.port())) {
                get(waiting, "/safe/hang", "waiting");
                awaitWaiting(mesh, 1);
                blocked = block(mesh.group);
                server.answers.add(
                        "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: ID\r\nContent-Length: 0\r\n\r\n");
            }
            blocked.countDown();
            assertThat(ScriptedServer.head(running.getInputStream())).contains("200 OK");
            assertThat(server.requests.poll(300, TimeUnit.MILLISECONDS)).isNull();
        }
    }

    /** A burst of calls, each of which costs a node with little processor time several ms. */
    @Test
    void callsOfABurstWhoseClientsLeaveWhileOthersAreStartedAreNotStarted() throws Exception {
        int calls = 100;
        BlockingQueue<Exchange> started = new LinkedBlockingQueue<>();
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        HttpListener slow =
                new HttpListener(
                        group,
                        Clock.system(),
                        () -> ClientLimits.DEFAULT,
                        new QueuedHandler(
                                exchange -> {
                                    started.add(exchange);
                                    first.countDown();
                                    awaitUnlessInterrupted(left);
                                }));
        slow.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        CountDownLatch blocked = block(group);
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            Socket socket = open(slow.address().getPort());
            post(socket, "/burst", 10);
            sockets.add(socket);
        }
        blocked.countDown();
        assertThat(first.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        for (Socket socket : sockets) {
            socket.close();
        }
        TimeUnit.NANOSECONDS.sleep(2 * StartQueue.SLICE_NANOS);
        left.countDown();
        awaitNoConnections(slow, group);
        assertThat(started).hasSizeLessThanOrEqualTo(3);
    }

    /** Starts calls as the call path does, when the event loop has read what has arrived. */
    private record QueuedHandler(Consumer<Exchange> action) implements ExchangeHandler {
        @Override
        public void handle(Exchange exchange) {
            action.accept(exchange);
        }

        @Override
        public boolean queued(Exchange exchange) {
            return true;
        }
    }

    /** Leaves idle connections to the server, and to the node beside it. */
    private static void openKeptConnections(ScriptedServer server, OneServerMesh mesh)
            throws Exception {
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            Socket caller = open(mesh.port());
            callers.add(caller);
            get(caller, "/safe/x", "kept-" + i);
            assertThat(server.request()).contains("/safe/x");
        }
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            server.answers.add(
                    "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: ID\r\nContent-Length: 0\r\n\r\n");
        }
        for (Socket caller : callers) {
            assertThat(ScriptedServer.head(caller.getInputStream())).contains("200 OK");
            caller.close();
        }
        awaitNoConnections(mesh.entryPort, mesh.group);
    }

    private static void get(Socket socket, String target, String callId) throws IOException {
        String head =
                "GET %s HTTP/1.1\r\nHost: h\r\nZinniaring-Call-Id: %s\r\n\r\n"
                        .formatted(target, callId);
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void awaitNoConnections(HttpListener listener, NioEventLoopGroup loop)
            throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        int open = 1;
        while (open > 0 && System.nanoTime() < endNanos) {
            open = loop.submit(listener::connections).get();
        }
        assertThat(open).as("open connections").isZero();
    }

    /** Keeps the event loop from reading until the result is counted down. */
    private static CountDownLatch block(NioEventLoopGroup loop) {
        CountDownLatch released = new CountDownLatch(1);
        loop.execute(() -> awaitUnlessInterrupted(released));
        return released;
    }

    private static void awaitUnlessInterrupted(CountDownLatch latch) {
        try {
            latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
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

    /** Requests behind answers that a client does not read must not keep the event loop busy. */
    @Test
    void requestsThatMayNotStartYetAreNotTriedAgainAndAgain() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        HttpListener busy =
                new HttpListener(
                        group,
                        Clock.system(),
                        () -> ClientLimits.DEFAULT,
                        new QueuedHandler(
                                exchange -> exchange.answer(Answer.bytes(200, new byte[8 << 20]))));
        busy.onStart(waitedNanos -> tries.incrementAndGet());
        busy.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try (Socket socket = open(busy.address().getPort())) {
            for (int i = 0; i < 4; i++) {
                get(socket, "/long", "long-" + i);
                TimeUnit.MILLISECONDS.sleep(100);
            }
            TimeUnit.MILLISECONDS.sleep(500);
            assertThat(tries.get()).isBetween(1, 30);
        }
    }
}
