package dev.zinniaring.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.ClientLimits;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.calls.HttpListener;
import dev.zinniaring.calls.PooledHttpClient;
import dev.zinniaring.kernel.Clock;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServerProbeTest {
    private static final HeaderNames NAMES = HeaderNames.builder().build();

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A restarted node that took the slowdown for the slots would flood the server. */
    @ParameterizedTest
    @CsvSource({"'3,0,6',6", "'3,0,4,250',4", "'3,0,0',1", "x,1"})
    void theSlotsOfAServerAreReadFromItsHealthCheck(String load, int slots) throws Exception {
        HttpListener server =
                new HttpListener(
                        group,
                        Clock.system(),
                        () -> ClientLimits.DEFAULT,
                        exchange -> answer(exchange, load));
        server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        ServerProbe probe =
                new ServerProbe(
                        new PooledHttpClient(group, Clock.system()), NAMES, server.address());
        CompletableFuture<Integer> identified = new CompletableFuture<>();
        group.execute(() -> probe.check("/health", found -> identified.complete(found.slots())));
        assertThat(identified.get(10, TimeUnit.SECONDS)).isEqualTo(slots);
    }

    private static void answer(Exchange exchange, String load) {
        Answer answer = Answer.of(200);
        answer.headers().set(NAMES.serverId(), "i1");
        answer.headers().set(NAMES.load(), load);
        exchange.answer(answer);
    }
}
