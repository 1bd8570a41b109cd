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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a listener whose memory holds one long body. */
class BodyMemoryTest {
    private static final int WAIT_MILLIS = 10_000;
    private static final int LONG_BYTES = 1 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final BodyBudget budget = new BodyBudget(LONG_BYTES * 3 / 2);
    private final BlockingQueue<Exchange> held = new LinkedBlockingQueue<>();
    private HttpListener listener;

    @BeforeEach
    void listen() throws KernelException {
        listener =
                new HttpListener(
                        group, Clock.system(), () -> ClientLimits.DEFAULT, this::handle, budget);
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void handle(Exchange exchange) {
        if (exchange.target().equals("/held")) {
            held.add(exchange);
        } else {
            exchange.answer(Answer.of(200));
        }
    }

    private Socket post(String target, int bodyBytes, int sentBytes) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.address().getPort());
        socket.setSoTimeout(WAIT_MILLIS);
        String head =
                "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
                        .formatted(target, bodyBytes);
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(new byte[sentBytes]);
        return socket;
    }

    private static String status(Socket socket) throws IOException {
        String head = ScriptedServer.head(socket.getInputStream());
        return head == null ? "closed" : head.split(" ")[1];
    }

    private String call(int bodyBytes) throws IOException {
        try (Socket socket = post("/p", bodyBytes, bodyBytes)) {
            return status(socket);
        }
    }

    /** A refusal is of use only if the client gets it, though it is still sending the body. */
    @Test
    void aBodyThatFindsNoMemoryInTimeIsRefusedAndShortOnesAreServed() throws Exception {
        try (Socket first = post("/held", LONG_BYTES, LONG_BYTES)) {
            Exchange running = held.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(running).isNotNull();
            assertThat(call(LONG_BYTES)).isEqualTo("503");
            assertThat(call(300)).isEqualTo("200");
            group.execute(() -> running.answer(Answer.of(200)));
            assertThat(status(first)).isEqualTo("200");
            assertThat(call(LONG_BYTES)).isEqualTo("200");
        }
    }

    /** A client that sends a body byte by byte must not keep others from sending theirs. */
    @Test
    void aSlowBodyIsRefusedWhenOthersWaitForItsMemory() throws Exception {
        try (Socket slow = post("/p", LONG_BYTES, 1)) {
            String refused = call(LONG_BYTES);
            assertThat(status(slow)).isEqualTo("503");
            assertThat(refused).isIn("200", "503");
            assertThat(call(LONG_BYTES)).isEqualTo("200");
        }
    }

    @Test
    void aClientThatLeavesHalfWayReleasesItsMemory() throws Exception {
        post("/p", LONG_BYTES, LONG_BYTES / 2).close();
        assertThat(call(LONG_BYTES)).isEqualTo("200");
    }

    @Test
    void aBodyThatCanNeverBeHeldIsRefused() throws Exception {
        assertThat(call(4 * LONG_BYTES)).isEqualTo("503");
    }
}
