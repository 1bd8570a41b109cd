package dev.zinniaring.admission;

import java.util.List;
import java.util.Map;

/** A small answer, stored for callers that resend an idempotency key. Immutable. */
public final class StoredAnswer {
    private final int status;
    private final Map<String, List<String>> headers;
    private final byte[] body;

    /**
     * Creates an answer.
     *
     * @param status HTTP status
     * @param headers header values by name
     * @param body the complete body
     */
    public StoredAnswer(int status, Map<String, List<String>> headers, byte[] body) {
        this.status = status;
        this.headers = Map.copyOf(headers);
        this.body = body.clone();
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the header values by name. */
    public Map<String, List<String>> headers() {
        return headers;
    }

    /** Returns a copy of the body. */
    public byte[] body() {
        return body.clone();
    }

    /** Returns the approximate size of this answer in bytes. */
    int sizeBytes() {
        int bytes = body.length;
        for (Map.Entry<String, List<String>> header : headers.entrySet()) {
            bytes += header.getKey().length();
            bytes += header.getValue().stream().mapToInt(String::length).sum();
        }
        return bytes;
    }
}
