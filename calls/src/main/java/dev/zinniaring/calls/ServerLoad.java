package dev.zinniaring.calls;

import org.jspecify.annotations.Nullable;

/**
 * Load of a backend server, which its owner node reports with each answer.
 *
 * @param running number of running calls
 * @param waiting number of calls queued at the owner node
 * @param slots number of calls that the server runs concurrently
 */
record ServerLoad(int running, int waiting, int slots) {
    /** Encodes the load as the header value {@code running/waiting/slots}. */
    String encode() {
        return running + "/" + waiting + "/" + slots;
    }

    /** Decodes a header value; returns null if it is absent or malformed. */
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
