package dev.zinniaring.calls;

import dev.zinniaring.kernel.RateLimit;
import org.jspecify.annotations.Nullable;

/**
 * Load of a backend server, which its owner node reports with each answer.
 *
 * @param running number of running calls
 * @param waiting number of calls queued at the owner node
 * @param slots number of calls that the server runs concurrently
 * @param limitPerSecond requests per second that the server accepts, or {@link RateLimit#NONE}
 * @param limitWaitMillis time until the limit allows a further call
 */
record ServerLoad(
        int running, int waiting, int slots, double limitPerSecond, long limitWaitMillis) {
    private static final int PARTS = 3;
    private static final int PARTS_WITH_LIMIT = 5;

    /** Creates the load of a server that names no limit. */
    ServerLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, RateLimit.NONE, 0);
    }

    /**
     * Encodes the load as the header value {@code running/waiting/slots}, followed by {@code
     * /limit/wait} if the server names a limit.
     */
    String encode() {
        String load = running + "/" + waiting + "/" + slots;
        return limitPerSecond == RateLimit.NONE
                ? load
                : load + "/" + limitPerSecond + "/" + limitWaitMillis;
    }

    /** Decodes a header value; returns null if it is absent or malformed. */
    static @Nullable ServerLoad decode(@Nullable String text) {
        if (text == null) {
            return null;
        }
        String[] parts = text.split("/", -1);
        if (parts.length != PARTS && parts.length != PARTS_WITH_LIMIT) {
            return null;
        }
        try {
            int running = Integer.parseInt(parts[0]);
            int waiting = Integer.parseInt(parts[1]);
            int slots = Math.max(1, Integer.parseInt(parts[2]));
            return parts.length == PARTS
                    ? new ServerLoad(running, waiting, slots)
                    : new ServerLoad(
                            running,
                            waiting,
                            slots,
                            Double.parseDouble(parts[3]),
                            Long.parseLong(parts[4]));
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
