package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that two readers may take for different ones must run nowhere. */
class MalformedRequestTest {
    private static final int WAIT_MILLIS = 5_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicInteger handled = new AtomicInteger();
    private HttpListener listener;

    @BeforeEach
    void listen() throws KernelException {
        listener =
                new HttpListener(
                        group,
                        Clock.system(),
                        () -> ClientLimits.DEFAULT,
                        exchange -> {
                            handled.incrementAndGet();
                            exchange.answer(Answer.of(200));
                        });
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Sends a request, {@code ~} for line ends, and another one behind it; both must not run. */
    private void assertRefused(String request) throws Exception {
        String all = request.replace("~", "\r\n") + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port())) {
            socket.setSoTimeout(WAIT_MILLIS);
            socket.getOutputStream().write(all.getBytes(StandardCharsets.ISO_8859_1));
            byte[] answers = socket.getInputStream().readAllBytes();
            assertThat(new String(answers, StandardCharsets.ISO_8859_1))
                    .startsWith("HTTP/1.1 400")
                    .containsOnlyOnce("HTTP/1.1");
        }
        assertThat(handled).hasValue(0);
    }

    private int port() {
        return listener.address().getPort();
    }

    /** Guards against a body whose end the server finds elsewhere (RFC 9112, section 6.3). */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "xchunked",
                "x, chunked",
                "chunked, x",
                "chunked, chunked",
                "chunked;q=1",
                ", chunked",
                "chunked,",
                "identity",
                "",
                "chunked~Transfer-Encoding: x",
                "x~Transfer-Encoding: chunked",
                "chunked~Content-Length: 3",
                "xchunked~Content-Length: 0"
            })
    void aTransferCodingOtherThanChunkedAloneIsRefused(String coding) throws Exception {
        assertRefused("POST /a HTTP/1.1~Host: h~Transfer-Encoding: " + coding + "~~0~~");
    }

    /** RFC 9112, section 6.1: a recipient of HTTP/1.0 may find the end of such a body elsewhere. */
    @Test
    void chunksInHttp10AreRefused() throws Exception {
        assertRefused(
                "POST /a HTTP/1.0~Host: h~Connection: keep-alive~Transfer-Encoding: chunked~~0~~");
    }

    /** The route is chosen by one host; a server may take the other one (RFC 9112, section 3.2). */
    @Test
    void twoHostsAreRefused() throws Exception {
        assertRefused("GET /a HTTP/1.1~Host: h~Host: other~~");
    }

    /** Control characters in a target end a request line, or a log line, for other readers. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /a\0b HTTP/1.1",
                "GET /a\u007f HTTP/1.1",
                "GET /a\u0001 HTTP/1.1",
                "GET /a HTTP/2.0",
                "GET /a http/1.1",
                "GET /a XTTP/1.1"
            })
    void aRequestLineBeyondTheGrammarIsRefused(String line) throws Exception {
        assertRefused(line + "~Host: h~~");
    }

    /** Guards against eight bytes of the next request that are taken for a body. */
    @Test
    void anOldWebSocketHandshakeIsRefused() throws Exception {
        assertRefused("GET /a HTTP/1.1~Host: h~Sec-WebSocket-Key1: 1~Sec-WebSocket-Key2: 2~~");
    }

    /** Guards against a body that ends at the first of two lengths. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.0", "HTTP/1.1"})
    void twoLengthsAreRefused(String version) throws Exception {
        assertRefused(
                "POST /a %s~Host: h~Connection: keep-alive~Content-Length: 0~Content-Length: 3~~"
                        .formatted(version));
    }
}
