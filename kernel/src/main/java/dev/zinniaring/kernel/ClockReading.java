package dev.zinniaring.kernel;

/**
 * A reading of both clocks of a VM. The monotonic clock may stand still while a VM is suspended,
 * and the time of day may be set; if they disagree on the time since a reading, that time is
 * unknown.
 *
 * <pre>{@code
 * ClockReading sent = ClockReading.of(clock);
 * long ageMillis = sent.ageMillis(clock); // UNKNOWN_MILLIS after a suspension
 * }</pre>
 *
 * @param nanos reading of the monotonic clock, in nanoseconds
 * @param wallMillis time of day, in milliseconds since the epoch
 */
public record ClockReading(long nanos, long wallMillis) {
    /** Age of a reading whose age cannot be told. */
    public static final long UNKNOWN_MILLIS = 3_600_000;

    /** Difference between the clocks that drift and rounding explain. */
    private static final long TOLERANCE_MILLIS = 250;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Reads both clocks. */
    public static ClockReading of(Clock clock) {
        return new ClockReading(clock.nanos(), clock.now().toEpochMilli());
    }

    /**
     * Returns the time since this reading, by the clock that has moved further, or {@link
     * #UNKNOWN_MILLIS} if the clocks disagree.
     */
    public long ageMillis(Clock clock) {
        long monotonicMillis = (clock.nanos() - nanos) / NANOS_PER_MILLI;
        long dayMillis = clock.now().toEpochMilli() - wallMillis;
        if (Math.abs(dayMillis - monotonicMillis) > TOLERANCE_MILLIS) {
            return UNKNOWN_MILLIS;
        }
        return Math.max(0, Math.max(monotonicMillis, dayMillis));
    }
}
