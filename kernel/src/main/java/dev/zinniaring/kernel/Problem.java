package dev.zinniaring.kernel;

/**
 * A validation error in a document such as a settings file.
 *
 * @param path path of the field, such as {@code platform.timeoutMillis} or {@code
 *     routes/orders.json#rank}
 * @param value the rejected value, shortened, or what is wrong
 * @param accepted description of the accepted values
 */
public record Problem(String path, String value, String accepted) {
    private static final int MAX_VALUE_CHARS = 80;

    /** Truncates a long value, so that a malicious document cannot flood the terminal. */
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
