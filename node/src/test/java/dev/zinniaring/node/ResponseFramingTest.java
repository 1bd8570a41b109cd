package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResponseFramingTest {
    /** Guards against reading bytes that follow a response as part of it. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET  | HTTP/1.1 200 OK~Content-Length: 3~~abc              | true",
                "GET  | HTTP/1.1 200 OK~Content-Length: 0~~                 | true",
                "HEAD | HTTP/1.1 200 OK~Content-Length: 3~~                 | true",
                "GET  | HTTP/1.1 204 No Content~~                           | true",
                "GET  | HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~Content-Length: 1~~a | true",
                "GET  | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3;x=y~abc~0~~ | true",
                "GET  | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~0~A: b~~ | true",
                "GET  | HTTP/1.1 200 OK~Content-Length: 3~~ab               | false",
                "GET  | HTTP/1.1 200 OK~~abc                                | false",
            })
    void findsTheEndOfAResponse(String method, String answer, boolean whole) throws IOException {
        String text = answer.replace("~", "\r\n");
        for (int step : new int[] {1, 7, 1_000}) {
            FramedInputStream input = input(text, "");
            input.begin(method);
            assertThat(read(input, text.length(), step)).isEqualTo(text);
            assertThat(input.atResponseEnd()).isEqualTo(whole);

            FramedInputStream followed = input(text, "HTTP/1.1 200 OK\r\n");
            followed.begin(method);
            read(followed, text.length(), step);
            assertThat(followed.atResponseEnd()).isFalse();
        }
    }

    private static FramedInputStream input(String response, String next) {
        byte[] bytes = (response + next).getBytes(StandardCharsets.ISO_8859_1);
        return new FramedInputStream(new ByteArrayInputStream(bytes));
    }

    private static String read(FramedInputStream input, int length, int step) throws IOException {
        byte[] bytes = new byte[length];
        int filled = 0;
        while (filled < length) {
            filled += input.read(bytes, filled, Math.min(step, length - filled));
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
