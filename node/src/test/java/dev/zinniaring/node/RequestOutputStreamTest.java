package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestOutputStreamTest {
    private static final String WRITTEN = "GET /x HTTP/1.1\r\nA: b c\r\n\r\n";

    private final ByteArrayOutputStream socket = new ByteArrayOutputStream();
    private final RequestOutputStream stream = new RequestOutputStream(socket);

    private void write(String text, int piece) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i += piece) {
            stream.write(bytes, i, Math.min(piece, bytes.length - i));
        }
    }

    /** Guards against a target that the client library has normalized, however it is written. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 6, 7, 100})
    void theTargetOfEachRequestIsReplacedAndNothingElse(int piece) throws IOException {
        stream.begin(RequestTarget.of("/a/./b?c=\u00e9|"));
        write(WRITTEN, piece);
        stream.begin(null);
        write(WRITTEN, piece);
        stream.begin(RequestTarget.of("/second"));
        write(WRITTEN, piece);
        assertThat(socket.toString(StandardCharsets.UTF_8))
                .isEqualTo(
                        WRITTEN.replace("/x", "/a/./b?c=\u00e9|")
                                + WRITTEN
                                + WRITTEN.replace("/x", "/second"));
    }
}
