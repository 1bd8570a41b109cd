package dev.zinniaring.calls;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes HTTP responses. The response to a HEAD request has no body, whatever its Content-Length.
 * A head is decoded once {@link AnswerHead} has found it complete and valid; bytes that cannot
 * become a head are reported as a failed response as soon as they arrive.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    /** Maximum size of the status line, of all headers and of all trailers of an answer. */
    static final int MAX_HEAD_BYTES = 64 * 1024;

    private final AnswerHead head = new AnswerHead();
    private boolean headOnly;
    private boolean atHead = true;
    private boolean failed;

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

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded)
            throws Exception {
        if (failed) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        if (atHead && !headComplete(bytes, decoded)) {
            return;
        }
        int before = decoded.size();
        super.decode(context, bytes, decoded);
        for (Object part : decoded.subList(before, decoded.size())) {
            atHead = part instanceof LastHttpContent;
        }
    }

    /** Returns whether bytes were received that are not decoded yet. */
    boolean holdsBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether a complete, valid head can be read. */
    private boolean headComplete(ByteBuf bytes, List<Object> decoded) {
        AnswerHead.State state = head.check(bytes);
        if (state == AnswerHead.State.INVALID
                || bytes.readableBytes() > MAX_HEAD_BYTES && state == AnswerHead.State.INCOMPLETE) {
            fail(bytes, decoded);
        }
        return state == AnswerHead.State.VALID;
    }

    private void fail(ByteBuf bytes, List<Object> decoded) {
        failed = true;
        bytes.skipBytes(bytes.readableBytes());
        FullHttpResponse invalid =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_0, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
        invalid.setDecoderResult(
                DecoderResult.failure(new CorruptedFrameException("not a valid response head")));
        decoded.add(invalid);
    }
}
