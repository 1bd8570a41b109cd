package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

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
                "GET  | HTTP/1.0 200~content-length:3 ~A:~B: HTTP/1.1~~abc  | true",
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

    /** Guards against stray bytes that pass for a part of a response (P4 in docs/design.md). */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "~HTTP/1.1 200 OK~Content-Length: 1~~a",
                "\n\nHTTP/1.1 200 OK~Content-Length: 1~~a",
                " HTTP/1.1 200 OK~Content-Length: 1~~a",
                "\u0000HTTP/1.1 200 OK~Content-Length: 1~~a",
                "junk",
                "http/1.1 200 OK~Content-Length: 1~~a",
                "ICY 200 OK~Content-Length: 1~~a",
                "HTTP/1.2 200 OK~Content-Length: 1~~a",
                "HTTP/2.0 200 OK~Content-Length: 1~~a",
                "HTTP/1.1  200 OK~Content-Length: 1~~a",
                "HTTP/1.1 20 OK~Content-Length: 1~~a",
                "HTTP/1.1 2000 OK~Content-Length: 1~~a",
                "HTTP/1.1 +20 OK~Content-Length: 1~~a",
                "HTTP/1.1 600 OK~Content-Length: 1~~a",
                "HTTP/1.1 200 O\u0000K~Content-Length: 1~~a",
                "HTTP/1.1 200 OK\nContent-Length: 1~~a",
                "HTTP/1.1 200 OK~Content-Length: 1~\na",
                "HTTP/1.1 200 OK~A: b\rc~Content-Length: 1~~a",
                "HTTP/1.1 200 OK~A: b\u0000~Content-Length: 1~~a",
                "HTTP/1.1 200 OK~no colon~Content-Length: 1~~a",
                "HTTP/1.1 200 OK~: b~Content-Length: 1~~a",
                "HTTP/1.1 200 OK~Content-Length : 1~~a",
                "HTTP/1.1 200 OK~A: b~ folded~Content-Length: 1~~a",
                "HTTP/1.1 200 OK~Content-Length: +1~~a",
                "HTTP/1.1 200 OK~Content-Length: 1, 1~~a",
                "HTTP/1.1 200 OK~Content-Length:~~a",
                "HTTP/1.1 200 OK~Content-Length: 1~Transfer-Encoding: chunked~~1~a~0~~",
                "HTTP/1.0 200 OK~Transfer-Encoding: chunked~~1~a~0~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: gzip, chunked~~1~a~0~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: identity~~a",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~Transfer-Encoding: chunked~~1~a~0~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~ab~0~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~a\n0~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~-1~a~0~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1 x~a~0~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~a~0~junk~~",
                "HTTP/1.1 100 Continue~~~HTTP/1.1 200 OK~Content-Length: 1~~a",
                "HTTP/1.1 503 FuHTTP/1.1 200 OK~Content-Length: 1~~a",
                "HTTP/1.1 503 Full~Retry-Af HTTP/1.1 200 OK~Content-Length: 1~~a",
                "HTTP/1.1 503 Full~Retry-After: HTTP/1.1 200 OK~Content-Length: 1~~a",
            })
    void rejectsBytesThatAreNoResponse(String answer) {
        String text = answer.replace("~", "\r\n");
        for (int step : new int[] {1, 7, 1_000}) {
            FramedInputStream input = input(text, "");
            input.begin("GET");
            assertThatThrownBy(() -> read(input, text.length(), step))
                    .isInstanceOf(MalformedResponseException.class);
            assertThat(input.atResponseEnd()).isFalse();
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
