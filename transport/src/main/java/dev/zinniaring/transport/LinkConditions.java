package dev.zinniaring.transport;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Simulated network conditions between availability zones, for tests and experiments: delay,
 * jitter, loss and partitions for each direction. May be changed while networks are running and
 * shared by several networks of a process. Thread-safe.
 *
 * <pre>{@code
 * LinkConditions conditions = new LinkConditions();
 * conditions.setBoth("a", "b", Condition.delayed(Duration.ofMillis(5)));
 * conditions.cutBoth("a", "b");
 * }</pre>
 */
public final class LinkConditions {
    private final Map<Direction, Condition> conditions = new ConcurrentHashMap<>();

    private record Direction(String fromZone, String toZone) {}

    /**
     * The condition of one direction.
     *
     * @param delay added to each frame and datagram
     * @param jitter upper bound of an additional, uniformly distributed delay
     * @param loss fraction, from 0 to 1, of datagrams that are dropped and of frames that are
     *     delayed as if TCP had retransmitted them
     * @param cut whether the direction is partitioned, so that nothing passes
     */
    public record Condition(Duration delay, Duration jitter, double loss, boolean cut) {
        /** No delay, loss or partition. */
        public static final Condition UNIMPAIRED =
                new Condition(Duration.ZERO, Duration.ZERO, 0, false);

        /** Checks the arguments. */
        public Condition {
            if (delay.isNegative() || jitter.isNegative()) {
                throw new IllegalArgumentException(
                        "delay and jitter must not be negative, were " + delay + " and " + jitter);
            }
            if (!(loss >= 0 && loss <= 1)) {
                throw new IllegalArgumentException("loss must be from 0 to 1, was " + loss);
            }
        }

        /** Returns a condition with a constant delay. */
        public static Condition delayed(Duration delay) {
            return new Condition(delay, Duration.ZERO, 0, false);
        }

        /** Returns a copy with another value of {@code cut}. */
        Condition withCut(boolean newCut) {
            return new Condition(delay, jitter, loss, newCut);
        }
    }

    /** Sets the condition of one direction. Both zones may be the same. */
    public void set(String fromZone, String toZone, Condition condition) {
        conditions.put(new Direction(fromZone, toZone), condition);
    }

    /** Sets the condition of both directions. */
    public void setBoth(String zone, String otherZone, Condition condition) {
        set(zone, otherZone, condition);
        set(otherZone, zone, condition);
    }

    /** Partitions one direction. Delay, jitter and loss apply again after {@link #heal}. */
    public void cut(String fromZone, String toZone) {
        set(fromZone, toZone, between(fromZone, toZone).withCut(true));
    }

    /** Partitions both directions. */
    public void cutBoth(String zone, String otherZone) {
        cut(zone, otherZone);
        cut(otherZone, zone);
    }

    /** Ends the partition of one direction. */
    public void heal(String fromZone, String toZone) {
        set(fromZone, toZone, between(fromZone, toZone).withCut(false));
    }

    /** Ends the partition of both directions. */
    public void healBoth(String zone, String otherZone) {
        heal(zone, otherZone);
        heal(otherZone, zone);
    }

    /** Returns the condition of one direction, {@link Condition#UNIMPAIRED} if none was set. */
    public Condition between(String fromZone, String toZone) {
        return conditions.getOrDefault(new Direction(fromZone, toZone), Condition.UNIMPAIRED);
    }
}
