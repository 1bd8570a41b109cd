package dev.zinniaring.calls;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status
 * @param headers headers as received, or end-to-end headers to be sent; the listener that sends the
 *     answer adds others, so an answer is sent once
 * @param body complete body
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

    /** Returns an answer with a plain-text body in UTF-8. */
    public static Answer text(int status, String text) {
        Answer answer =
                new Answer(status, new DefaultHttpHeaders(), text.getBytes(StandardCharsets.UTF_8));
        answer.headers.set("Content-Type", "text/plain; charset=utf-8");
        return answer;
    }

    /** Returns an answer with the given body and no headers. */
    public static Answer bytes(int status, byte[] body) {
        return new Answer(status, new DefaultHttpHeaders(), body);
    }
}
