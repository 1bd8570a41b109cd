package dev.zinniaring.accounts;

/**
 * Requests that an account may make over all nodes together.
 *
 * @param perSecond sustained rate, in requests per second
 * @param burst requests that may come at once after a pause
 */
public record Quota(double perSecond, double burst) {
    /** Quota of an account without a limit. */
    public static final Quota UNLIMITED =
            new Quota(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

    /**
     * Returns a quota; a rate of 0 means no limit.
     *
     * @throws IllegalArgumentException if a value is negative or not a number
     */
    public static Quota of(double perSecond, double burst) {
        if (!(perSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "quota must not be negative, was " + perSecond + "/s, burst " + burst);
        }
        return perSecond == 0 ? UNLIMITED : new Quota(perSecond, burst);
    }

    /** Returns whether there is a limit. */
    public boolean limited() {
        return perSecond != Double.POSITIVE_INFINITY;
    }
}
