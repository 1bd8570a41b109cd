package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers; the answer to a HEAD request has no body, whatever its length says. */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private boolean headOnly;

    AnswerDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_HEAD_BYTES)
                        .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    void expect(String method) {
        headOnly = method.equals("HEAD");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headOnly || super.isContentAlwaysEmpty(message);
    }
}
