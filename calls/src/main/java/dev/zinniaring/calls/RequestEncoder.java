package dev.zinniaring.calls;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests whose targets hold one character for each byte, as the decoder leaves them. The
 * parent would encode each byte over 0x7F as two.
 */
final class RequestEncoder extends HttpRequestEncoder {
    @Override
    protected void encodeInitialLine(ByteBuf out, HttpRequest request) {
        out.writeCharSequence(request.method().name(), StandardCharsets.ISO_8859_1);
        out.writeByte(' ');
        out.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
        out.writeByte(' ');
        out.writeCharSequence(request.protocolVersion().text(), StandardCharsets.ISO_8859_1);
        out.writeByte('\r').writeByte('\n');
    }
}
