package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.KernelException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against work for callers that have closed their connection. */
class CallerDisconnectTest {
    /** Shorter than the deadline of the route, 5 s, at which a node cancels a call anyway. */
    private static final int WAIT_MILLIS = 3_000;

    private final TestMesh mesh = new TestMesh();

    @AfterEach
    void stop() {
        mesh.close();
    }

    /** The rest of a body above 64 KB is streamed, and its end used to start no watch. */
    @ParameterizedTest
    @ValueSource(ints = {0, 300, 300_000, 3_000_000})
    void aCallIsCancelledWhenItsCallerLeavesWhateverTheSizeOfItsBody(int bodyBytes)
            throws IOException, KernelException {
        TestMesh.TestNode entry = mesh.node("entry");
        TestMesh.TestNode owner = mesh.node("owner");
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            owner.serve("s1", "katalog", (InetSocketAddress) server.getLocalSocketAddress());
            URI target = URI.create(entry.url("/write"));
            try (Socket caller = new Socket(target.getHost(), target.getPort())) {
                String head =
                        "POST /write HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
                                .formatted(bodyBytes);
                caller.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                caller.getOutputStream().write(new byte[bodyBytes]);
                try (Socket atServer = server.accept()) {
                    InputStream in = atServer.getInputStream();
                    readRequest(in, bodyBytes);
                    atServer.setSoTimeout(WAIT_MILLIS);
                    caller.close();
                    assertThat(in.read()).as("end of the connection to the server").isEqualTo(-1);
                }
            }
        }
    }

    private static void readRequest(InputStream in, int bodyBytes) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        in.skipNBytes(bodyBytes);
    }
}
