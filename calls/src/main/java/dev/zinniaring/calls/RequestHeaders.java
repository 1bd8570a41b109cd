package dev.zinniaring.calls;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.function.Supplier;

/**
 * Headers of a request that is being decoded, counted in a {@link HeadBudget}. They take one {@code
 * Content-Length} only, as the decoder keeps the first of several in a request of HTTP/1.0 (RFC
 * 9112, section 6.3).
 */
final class RequestHeaders extends DefaultHttpHeaders {
    private final HeadBudget.Claim claim;

    /** Thrown when there is no memory for a line. */
    static final class NoMemoryException extends IllegalArgumentException {
        private static final long serialVersionUID = 1;

        NoMemoryException() {
            super("no memory for a request head");
        }
    }

    private RequestHeaders(HeadBudget.Claim claim) {
        this.claim = claim;
    }

    /**
     * Returns a factory of headers.
     *
     * @param claims supplies the claim of each head
     */
    static HttpHeadersFactory factory(Supplier<HeadBudget.Claim> claims) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new RequestHeaders(claims.get());
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return newHeaders();
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        int characters = name.length() + (value instanceof CharSequence text ? text.length() : 0);
        if (!claim.addLine(characters)) {
            throw new NoMemoryException();
        }
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name) && contains(name)) {
            throw new IllegalArgumentException("two lengths");
        }
        return super.add(name, value);
    }
}
