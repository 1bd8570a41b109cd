package dev.zinniaring.kernel;

/**
 * One fault in a document that a person wrote.
 *
 * @param path where it is, such as {@code platform.timeoutMillis} or {@code
 *     routes/orders.json#rank}
 * @param value what stands there, shortened
 * @param accepted what would be accepted there
 */
public record Problem(String path, String value, String accepted) {
    private static final int MAX_VALUE_CHARS = 80;

    /** Shortens a long value, so that a hostile document cannot flood the terminal. */
    public Problem {
        if (value.length() > MAX_VALUE_CHARS) {
            value = value.substring(0, MAX_VALUE_CHARS) + "...";
        }
    }

    @Override
    public String toString() {
        return path + ": " + value + " (accepted: " + accepted + ")";
    }
}
