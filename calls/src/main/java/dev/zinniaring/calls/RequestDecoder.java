package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and takes only request lines of HTTP/1.0 and HTTP/1.1 (RFC 9112, section 3). The
 * parent also takes control characters in the target, and other versions.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int METHOD_TARGET_VERSION = 3;

    /**
     * Creates a decoder.
     *
     * @param headers creates the headers and the trailers of each request
     */
    RequestDecoder(HttpDecoderConfig config, HttpHeadersFactory headers) {
        super(
                config.setStrictLineParsing(true)
                        .setUseRfc9112TransferEncoding(true)
                        .setHeadersFactory(headers)
                        .setTrailersFactory(headers));
    }

    @Override
    protected HttpMessage createMessage(String[] requestLine) throws Exception {
        if (requestLine.length != METHOD_TARGET_VERSION || !isTarget(requestLine[1])) {
            throw new IllegalArgumentException("malformed request line");
        }
        String version = requestLine[2];
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new IllegalArgumentException("unsupported version");
        }
        return super.createMessage(requestLine);
    }

    private static boolean isTarget(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) == '\u007f') {
                return false;
            }
        }
        return !text.isEmpty();
    }
}
