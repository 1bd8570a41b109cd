package dev.zinniaring.calls;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Headers of a request that is being decoded. They take one {@code Content-Length} only, as the
 * decoder keeps the first of several in a request of HTTP/1.0 (RFC 9112, section 6.3).
 */
final class RequestHeaders extends DefaultHttpHeaders {
    static final HttpHeadersFactory FACTORY =
            new HttpHeadersFactory() {
                @Override
                public HttpHeaders newHeaders() {
                    return new RequestHeaders();
                }

                @Override
                public HttpHeaders newEmptyHeaders() {
                    return new RequestHeaders();
                }
            };

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name) && contains(name)) {
            throw new IllegalArgumentException("two lengths");
        }
        return super.add(name, value);
    }
}
