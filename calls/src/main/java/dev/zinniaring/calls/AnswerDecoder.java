package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes HTTP responses. The response to a HEAD request has no body, whatever its Content-Length.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    /** Maximum size of the status line, of all headers and of all trailers of an answer. */
    static final int MAX_HEAD_BYTES = 64 * 1024;

    private boolean headOnly;

    AnswerDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Sets the method of the request whose response is decoded next. */
    void expect(String method) {
        headOnly = method.equals("HEAD");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headOnly || super.isContentAlwaysEmpty(message);
    }
}
