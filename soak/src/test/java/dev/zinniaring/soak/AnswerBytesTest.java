package dev.zinniaring.soak;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.calls.Answer;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.platform.PlatformHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AnswerBytesTest {
    private static final int SEEDS = 20;

    private static Answer answer() {
        Answer answer = Answer.bytes(200, "r1 ".repeat(50).getBytes(StandardCharsets.ISO_8859_1));
        answer.headers().set(PlatformHeaders.names().callId(), "c");
        answer.headers().set(RunTag.HEADER, new RunTag("r1", 200).toString());
        return answer;
    }

    private static byte[] first(AnswerBytes.Sending sending) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        sending.steps().forEach(step -> bytes.writeBytes(step.bytes()));
        return bytes.toByteArray();
    }

    private static boolean readsWhole(AnswerBytes.Sending sending) throws Exception {
        boolean reset = sending.steps().stream().anyMatch(s -> s.end() == AnswerBytes.End.RESET);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                CallConnection caller =
                        new CallConnection(
                                (InetSocketAddress) server.getLocalSocketAddress(),
                                Clock.system())) {
            CompletableFuture<Void> served =
                    CompletableFuture.runAsync(() -> serve(server, first(sending), reset));
            caller.open();
            boolean whole = exchange(caller);
            caller.close();
            served.join();
            return whole;
        }
    }

    private static void serve(ServerSocket server, byte[] bytes, boolean reset) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read();
            socket.getOutputStream().write(bytes);
            if (reset) {
                socket.setSoLinger(true, 0);
            } else {
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean exchange(CallConnection caller) {
        try {
            return caller.exchange("x", 2_000).body().equals("r1 ".repeat(50));
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against proper answers that a strict receiver rejects, and the other way round. */
    @Timeout(30)
    @ParameterizedTest
    @EnumSource(AnswerKind.class)
    void aStrictReceiverAcceptsExactlyTheProperKinds(AnswerKind kind) throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            AnswerBytes.Sending sending =
                    AnswerBytes.of(kind, answer(), new SplittableRandom(seed));
            assertThat(readsWhole(sending)).as("seed %d", seed).isEqualTo(kind.proper());
        }
    }
}
