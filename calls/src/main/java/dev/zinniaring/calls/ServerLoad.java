package dev.zinniaring.calls;

import org.jspecify.annotations.Nullable;

/**
 * How busy a backend server is, as its node tells with each answer.
 *
 * @param running calls that run
 * @param waiting calls that wait beside it
 * @param slots calls that run at once
 */
record ServerLoad(int running, int waiting, int slots) {
    /** Returns the header value {@code running/waiting/slots}. */
    String encode() {
        return running + "/" + waiting + "/" + slots;
    }

    /** Returns the load in a header value, or null if it is absent or malformed. */
    static @Nullable ServerLoad decode(@Nullable String text) {
        if (text == null) {
            return null;
        }
        String[] parts = text.split("/", -1);
        if (parts.length != 3) {
            return null;
        }
        try {
            return new ServerLoad(
                    Integer.parseInt(parts[0]),
                    Integer.parseInt(parts[1]),
                    Math.max(1, Integer.parseInt(parts[2])));
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
