package dev.zinniaring.admission;

import java.util.List;
import java.util.Map;

/**
 * A small answer kept for callers that send a key again.
 *
 * @param status HTTP status
 * @param headers header values by name
 * @param body the whole body; not to be changed
 */
public record StoredAnswer(int status, Map<String, List<String>> headers, byte[] body) {
    /** Copies the headers. */
    public StoredAnswer {
        headers = Map.copyOf(headers);
    }

    /** Returns about how many bytes this answer occupies. */
    int sizeBytes() {
        int bytes = body.length;
        for (Map.Entry<String, List<String>> header : headers.entrySet()) {
            bytes += header.getKey().length();
            bytes += header.getValue().stream().mapToInt(String::length).sum();
        }
        return bytes;
    }
}
