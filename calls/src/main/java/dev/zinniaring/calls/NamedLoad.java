package dev.zinniaring.calls;

import org.jspecify.annotations.Nullable;

/**
 * Load that a backend server names in an answer.
 *
 * @param running calls that it runs
 * @param waiting calls that wait at it
 * @param slots calls that it runs at the same time
 * @param slowdown how many times as long as usual work takes there at the moment, 0 if not told
 */
public record NamedLoad(int running, int waiting, int slots, double slowdown) {
    private static final double USUAL_PERCENT = 100;
    private static final int MAX_LENGTH = 64;
    private static final int FIELDS = 3;

    /**
     * Reads the value of a header, {@code running,waiting,slots} or {@code
     * running,waiting,slots,percent}, where 100 percent is the usual time. Returns null if it is
     * absent or malformed.
     */
    public static @Nullable NamedLoad read(@Nullable String text) {
        if (text == null || text.length() > MAX_LENGTH) {
            return null;
        }
        String[] fields = text.split(",", -1);
        if (fields.length < FIELDS) {
            return null;
        }
        try {
            double percent = fields.length > FIELDS ? Double.parseDouble(fields[FIELDS].trim()) : 0;
            return new NamedLoad(
                    Integer.parseInt(fields[0].trim()),
                    Integer.parseInt(fields[1].trim()),
                    Integer.parseInt(fields[2].trim()),
                    percent > 0 && Double.isFinite(percent) ? percent / USUAL_PERCENT : 0);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    boolean tellsSlowdown() {
        return slowdown > 0;
    }
}
