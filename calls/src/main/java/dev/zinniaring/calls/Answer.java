package dev.zinniaring.calls;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A whole answer: its status, its headers and all bytes of its body.
 *
 * @param status HTTP status
 * @param headers headers as received, or as they are to be sent
 * @param body the whole body
 */
public record Answer(int status, HttpHeaders headers, byte[] body) {
    private static final byte[] NO_BODY = new byte[0];

    /** Returns an answer without headers or body. */
    public static Answer of(int status) {
        return new Answer(status, new DefaultHttpHeaders(), NO_BODY);
    }

    /** Returns an answer with a JSON body. */
    public static Answer json(int status, String text) {
        Answer answer =
                new Answer(status, new DefaultHttpHeaders(), text.getBytes(StandardCharsets.UTF_8));
        answer.headers.set("Content-Type", "application/json");
        return answer;
    }

    /** Returns an answer with a body of plain text. */
    public static Answer text(int status, String text) {
        Answer answer =
                new Answer(status, new DefaultHttpHeaders(), text.getBytes(StandardCharsets.UTF_8));
        answer.headers.set("Content-Type", "text/plain; charset=utf-8");
        return answer;
    }

    /** Returns an answer with a body of bytes. */
    public static Answer bytes(int status, byte[] body) {
        return new Answer(status, new DefaultHttpHeaders(), body);
    }
}
