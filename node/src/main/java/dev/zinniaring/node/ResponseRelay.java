package dev.zinniaring.node;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import okhttp3.Headers;
import okhttp3.Response;
import okio.BufferedSource;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Relays a response to the sender of the request. A response that is truncated before its start was
 * sent becomes an error response; after that, the connection is closed.
 */
final class ResponseRelay {
    private static final int CHUNK_BYTES = 32 * 1024;
    private static final int END = -1;

    private final CallMetrics metrics;

    ResponseRelay(CallMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Relays a response and ends it.
     *
     * @throws CallException if the response was truncated before any of it was sent
     */
    void relay(CallContext call, HopResponse hopResponse) throws CallException {
        BufferedSource source = hopResponse.httpResponse().body().source();
        byte[] chunk = new byte[chunkBytes(hopResponse.httpResponse())];
        int count;
        boolean last;
        try {
            count = fill(source, chunk);
            last = count < chunk.length || source.exhausted();
        } catch (IOException e) {
            hopResponse.end(HopResponse.End.BROKEN);
            throw broken(e);
        }
        head(call.exchange(), hopResponse.httpResponse());
        if (last) {
            hopResponse.end(HopResponse.End.COMPLETE);
            call.exchange().end(chunk, 0, count);
            return;
        }
        stream(call.exchange(), hopResponse, source, chunk, count);
    }

    /**
     * Returns the buffer size. For a short response it is one byte more than the body, so that the
     * first fill reaches the end of the body.
     */
    private static int chunkBytes(Response response) {
        long length = response.body().contentLength();
        return length >= 0 && length < CHUNK_BYTES ? (int) length + 1 : CHUNK_BYTES;
    }

    private static int fill(BufferedSource source, byte[] chunk) throws IOException {
        int filled = 0;
        while (filled < chunk.length) {
            int count = source.read(chunk, filled, chunk.length - filled);
            if (count == END) {
                return filled;
            }
            filled += count;
        }
        return filled;
    }

    static CallException broken(IOException e) {
        return HopClient.kind(e) == HopException.Kind.TIMED_OUT
                ? CallException.unknown(504, "deadline")
                : CallException.unknown(502, "broken");
    }

    private void stream(
            Exchange exchange,
            HopResponse hopResponse,
            BufferedSource source,
            byte[] chunk,
            int first) {
        int count = first;
        while (count != END) {
            if (!write(exchange, hopResponse, chunk, count)) {
                return;
            }
            try {
                count = source.read(chunk, 0, chunk.length);
            } catch (IOException e) {
                metrics.truncatedResponse();
                hopResponse.end(HopResponse.End.BROKEN);
                exchange.abort(e);
                return;
            }
        }
        hopResponse.end(HopResponse.End.COMPLETE);
        exchange.end(chunk, 0, 0);
    }

    private static boolean write(
            Exchange exchange, HopResponse hopResponse, byte[] chunk, int count) {
        try {
            exchange.write(chunk, 0, count);
            return true;
        } catch (IOException e) {
            hopResponse.end(HopResponse.End.DISCARDED);
            exchange.abort(e);
            return false;
        }
    }

    private static void head(Exchange exchange, Response response) {
        exchange.status(response.code());
        HttpFields.Mutable fields = exchange.responseHeaders();
        Headers headers = response.headers();
        Set<String> ofConnection = connectionHeaders(headers);
        for (int i = 0; i < headers.size(); i++) {
            String name = headers.name(i);
            if (CallHeaders.forwarded(name)
                    && !ofConnection.contains(name.toLowerCase(Locale.ROOT))) {
                fields.add(name, headers.value(i));
            }
        }
        restore(fields, headers);
    }

    private static void restore(HttpFields.Mutable fields, Headers headers) {
        String length = headers.get("Content-Length");
        if (length != null) {
            fields.put(HttpHeader.CONTENT_LENGTH, length);
        }
        String retryAfter = headers.get(CallHeaders.HELD_RETRY_AFTER);
        if (retryAfter != null) {
            fields.put(HttpHeader.RETRY_AFTER, retryAfter);
        }
    }

    private static Set<String> connectionHeaders(Headers headers) {
        List<String> values = headers.values("Connection");
        if (values.isEmpty()) {
            return Set.of();
        }
        Set<String> names = new HashSet<>();
        for (String value : values) {
            for (String name : value.split(",", -1)) {
                names.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
