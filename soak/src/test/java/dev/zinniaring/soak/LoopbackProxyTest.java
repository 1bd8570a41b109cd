package dev.zinniaring.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.zinniaring.kernel.Clock;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoopbackProxyTest {
    private static final int WAIT_MILLIS = 5_000;
    private static final int SHORT_MILLIS = 200;

    private final NioEventLoopGroup loop = new NioEventLoopGroup(1);
    private ServerSocket target;
    private LoopbackProxy proxy;
    private Socket client;
    private Socket server;

    @BeforeEach
    void connect() throws Exception {
        target = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        proxy =
                LoopbackProxy.start(
                        loop, Clock.system(), (InetSocketAddress) target.getLocalSocketAddress());
        client = new Socket(InetAddress.getLoopbackAddress(), proxy.address().getPort());
        server = target.accept();
        client.setSoTimeout(WAIT_MILLIS);
        server.setSoTimeout(WAIT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
        target.close();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void set(LoopbackProxy.Mode mode) throws Exception {
        proxy.mode(mode);
        loop.submit(() -> {}).get();
    }

    @Test
    void bytesAreForwardedInBothDirections() throws IOException {
        client.getOutputStream().write(1);
        assertThat(server.getInputStream().read()).isEqualTo(1);
        server.getOutputStream().write(2);
        assertThat(client.getInputStream().read()).isEqualTo(2);
    }

    /** TCP never loses bytes in the middle of a stream, so the proxy must not either. */
    @Test
    void bytesHeldBackBySilentModeArriveInOrderAfterwards() throws Exception {
        set(LoopbackProxy.Mode.SILENT);
        client.getOutputStream().write(new byte[] {1, 2});
        server.setSoTimeout(SHORT_MILLIS);
        assertThatThrownBy(() -> server.getInputStream().read())
                .isInstanceOf(SocketTimeoutException.class);
        set(LoopbackProxy.Mode.PASS);
        client.getOutputStream().write(3);
        server.setSoTimeout(WAIT_MILLIS);
        assertThat(server.getInputStream().readNBytes(3)).containsExactly(1, 2, 3);
    }

    @Test
    void aCutInOneDirectionDoesNotAffectTheOther() throws Exception {
        set(LoopbackProxy.Mode.ANSWERS_CUT);
        client.getOutputStream().write(1);
        assertThat(server.getInputStream().read()).isEqualTo(1);
        server.getOutputStream().write(2);
        client.setSoTimeout(SHORT_MILLIS);
        assertThatThrownBy(() -> client.getInputStream().read())
                .isInstanceOf(SocketTimeoutException.class);
    }

    @Test
    void resetModeClosesOpenConnectionsWithAnError() throws Exception {
        set(LoopbackProxy.Mode.RESET);
        assertThatThrownBy(() -> client.getInputStream().read())
                .isInstanceOf(SocketException.class);
    }

    @Test
    void theEndOfAConnectionIsForwarded() throws IOException {
        server.close();
        assertThat(client.getInputStream().read()).isEqualTo(-1);
    }
}
