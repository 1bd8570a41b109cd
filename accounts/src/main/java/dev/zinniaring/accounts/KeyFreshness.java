package dev.zinniaring.accounts;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ClockReading;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether keys may still be accepted. A key that operators take away must be refused within a
 * bound by every node, also by one that hears of nothing. So a node accepts keys only while it
 * knows that its configuration was the newest at a moment within that bound. Such moments come from
 * the store, and from peers whose own knowledge has an age.
 *
 * <p>A confirmation counts from the moment at which the question was sent, since its answer may
 * have been under way for long. After a suspension of the VM, or if the time of day is set, all
 * that was known is void until the next confirmation.
 */
public final class KeyFreshness {
    /** Time that a request may need from its client, and the rounding of ages. */
    private static final long MARGIN_MILLIS = 50;

    private final Clock clock;
    private @Nullable ClockReading confirmed;
    private long ageAtConfirmationMillis;

    /** Creates a state without a confirmation. */
    public KeyFreshness(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that the configuration in force here was the newest some time before a moment.
     *
     * @param asked moment at which the question was sent whose answer confirms it
     * @param ageMillis age of the answering node's own knowledge, 0 for the store
     */
    public void confirm(ClockReading asked, long ageMillis) {
        if (Math.max(0, ageMillis) + asked.ageMillis(clock) < ageMillis()) {
            confirmed = asked;
            ageAtConfirmationMillis = Math.max(0, ageMillis);
        }
    }

    /**
     * Returns the time since the configuration was known to be the newest, {@link
     * ClockReading#UNKNOWN_MILLIS} or more if that is not known.
     */
    public long ageMillis() {
        ClockReading known = confirmed;
        return known == null
                ? ClockReading.UNKNOWN_MILLIS
                : known.ageMillis(clock) + ageAtConfirmationMillis;
    }

    /**
     * Returns whether a key that the configuration holds may be accepted.
     *
     * @param bound time within which a key that is taken away has to be refused
     */
    public boolean holds(Duration bound) {
        return ageMillis() + MARGIN_MILLIS < bound.toMillis();
    }
}
