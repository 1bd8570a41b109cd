package dev.zinniaring.calls;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * A request as it stands on a connection. Its texts hold one character for each byte.
 *
 * @param headers names and values in their order
 */
public record WireRequest(String method, String target, List<String[]> headers, byte[] body) {
    /** Returns the first value of a header, or an empty string if there is none. */
    public String header(String name) {
        return headers.stream()
                .filter(header -> header[0].equalsIgnoreCase(name))
                .map(header -> header[1])
                .findFirst()
                .orElse("");
    }

    /** Returns the values of a header. */
    public List<String> values(String name) {
        return headers.stream()
                .filter(header -> header[0].equalsIgnoreCase(name))
                .map(header -> header[1])
                .toList();
    }

    /** Returns whether another request has the same method, target, host and body. */
    public boolean sameAs(WireRequest other) {
        return method.equals(other.method)
                && target.equals(other.target)
                && header("Host").equals(other.header("Host"))
                && Arrays.equals(body, other.body);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(method + " " + target);
        headers.forEach(
                header -> text.append(" | ").append(header[0]).append(": ").append(header[1]));
        return text + " | " + new String(body, StandardCharsets.ISO_8859_1);
    }
}
