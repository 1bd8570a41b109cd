package dev.zinniaring.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;

/**
 * The platform's HTTP/1.1 protocol. Paths are relative to the base URLs of its two services.
 *
 * <pre>
 * table service
 *   GET  /row?key=K            200 with the value as body and ETag: "revision", 304 if
 *                              If-None-Match names the current revision, 404 + Row: absent
 *   GET  /rows?prefix=P&amp;limit=N   200 with [{"key","revision","value"}], value in Base64
 *   POST /transactions         200 with {"applied": true|false}; body {"token",
 *                              "conditions": [{"key","revision"}], "puts": [{"key","value"}]};
 *                              a repeated token returns the outcome of its first request
 * object store
 *   GET  /object?key=K         200 with the body, 404 + Row: absent
 *   PUT  /object?key=K         204
 * errors without effect: 400 or 413 invalid, 429 rate limit, 503 unavailable
 * </pre>
 *
 * <p>After any other status, and after a broken connection, a write may have taken effect.
 */
public final class PlatformWire {
    /** Header that distinguishes an absent row or object from a wrong URL; both have status 404. */
    public static final String ABSENCE_HEADER = "Row";

    /** Value of {@link #ABSENCE_HEADER}. */
    public static final String ABSENT = "absent";

    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private PlatformWire() {}

    private record Applied(boolean applied) {}

    /** Returns the body of a commit request. */
    public static byte[] encodeTransaction(Transaction transaction) {
        return write(transaction);
    }

    /** Parses the body of a commit request. */
    public static Transaction decodeTransaction(byte[] body) throws IOException {
        return MAPPER.readValue(body, Transaction.class);
    }

    /** Returns the body of the response to a commit request. */
    public static byte[] encodeApplied(boolean applied) {
        return write(new Applied(applied));
    }

    /** Parses the body of the response to a commit request. */
    public static boolean decodeApplied(byte[] body) throws IOException {
        return MAPPER.readValue(body, Applied.class).applied();
    }

    /** Returns the body of the response to a scan. */
    public static byte[] encodeRows(List<Row> rows) {
        return write(rows);
    }

    /** Parses the body of the response to a scan. */
    public static List<Row> decodeRows(byte[] body) throws IOException {
        return List.of(MAPPER.readValue(body, Row[].class));
    }

    /** Returns the HTTP entity tag of a revision. */
    public static String etag(long revision) {
        return "\"" + revision + "\"";
    }

    /**
     * Returns the revision in an HTTP entity tag.
     *
     * @throws IOException if the tag does not contain a revision
     */
    public static long revision(String etag) throws IOException {
        if (!etag.matches("\"[0-9]{1,18}\"")) {
            throw new IOException("entity tag " + etag + " is not a revision");
        }
        return Long.parseLong(etag.substring(1, etag.length() - 1));
    }

    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("protocol record could not be serialized", e);
        }
    }
}
