package dev.zinniaring.routing;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Keeps backend servers out that calls show to be unfit, and lets them back in by degrees.
 *
 * <p>A server without a connection is avoided at once, for a second at first. One that fails calls
 * or is slow beyond measure is ejected for longer, but never more than a third of a pool, because a
 * fault that all servers share is no reason to leave them. When the time is over a server is on
 * probation: it gets one call at a time until it has completed a few, and a failure puts it out for
 * twice as long. Health endpoints play no part.
 */
public final class Outliers {
    /** What a server may get. */
    public enum Standing {
        /** Its share. */
        GOOD,
        /** One call at a time. */
        PROBATION,
        /** Nothing while another server is left. */
        OUT
    }

    private record Entry(boolean ejected, long untilNanos, int times, int completed) {}

    private static final int PROBATION_CALLS = 3;
    private static final int MAX_DOUBLINGS = 5;
    private static final int POOL_DIVISOR = 3;

    private final Clock clock;
    private final long avoidNanos;
    private final long ejectNanos;
    private final AtomicReference<Map<String, Entry>> entries = new AtomicReference<>(Map.of());

    /**
     * Creates a record without entries.
     *
     * @param avoid how long a server is avoided after its first connect failure
     * @param eject how long a server is ejected the first time
     */
    public Outliers(Clock clock, Duration avoid, Duration eject) {
        this.clock = clock;
        this.avoidNanos = avoid.toNanos();
        this.ejectNanos = eject.toNanos();
    }

    /** Returns whether every server is in good standing; one atomic read. */
    public boolean none() {
        return entries().isEmpty();
    }

    /** Returns what a server may get. */
    public Standing standing(String serverId) {
        Entry entry = entries().get(serverId);
        if (entry == null) {
            return Standing.GOOD;
        }
        return clock.nanos() - entry.untilNanos() < 0 ? Standing.OUT : Standing.PROBATION;
    }

    /** Avoids a server to which no connection came about. */
    public void avoid(String serverId) {
        change(before -> with(before, serverId, false));
    }

    /**
     * Ejects a server, unless a third of its pool is ejected already.
     *
     * @param poolServerIds all servers of the pool
     * @return whether the server is ejected now
     */
    public boolean eject(String serverId, Set<String> poolServerIds) {
        Map<String, Entry> after =
                change(
                        before ->
                                mayEject(before, serverId, poolServerIds)
                                        ? with(before, serverId, true)
                                        : before);
        Entry entry = after.get(serverId);
        return entry != null && entry.ejected() && standing(serverId) == Standing.OUT;
    }

    /** Notes a completed call, which counts towards the end of a probation. */
    public void completed(String serverId) {
        if (standing(serverId) == Standing.PROBATION) {
            change(before -> withCompleted(before, serverId));
        }
    }

    /** Forgets all servers but {@code serverIds}. */
    public void retain(Set<String> serverIds) {
        change(
                before -> {
                    Map<String, Entry> after = new HashMap<>(before);
                    after.keySet().retainAll(serverIds);
                    return after.size() == before.size() ? before : Map.copyOf(after);
                });
    }

    private boolean mayEject(Map<String, Entry> present, String serverId, Set<String> pool) {
        long nowNanos = clock.nanos();
        long ejected =
                pool.stream()
                        .filter(other -> !other.equals(serverId))
                        .map(present::get)
                        .filter(Objects::nonNull)
                        .filter(entry -> entry.ejected() && nowNanos - entry.untilNanos() < 0)
                        .count();
        return ejected + 1 <= pool.size() / POOL_DIVISOR;
    }

    private Map<String, Entry> with(Map<String, Entry> before, String serverId, boolean eject) {
        long nowNanos = clock.nanos();
        Entry present = before.get(serverId);
        if (present != null && nowNanos - present.untilNanos() < 0 && present.ejected() == eject) {
            return before;
        }
        int times = present == null ? 0 : present.times();
        long baseNanos = eject ? ejectNanos : avoidNanos;
        long untilNanos = nowNanos + (baseNanos << Math.min(MAX_DOUBLINGS, times));
        if (present != null && present.untilNanos() - untilNanos > 0) {
            untilNanos = present.untilNanos();
        }
        return with(before, serverId, new Entry(eject, untilNanos, times + 1, 0));
    }

    private static Map<String, Entry> withCompleted(Map<String, Entry> before, String serverId) {
        Entry entry = before.get(serverId);
        if (entry == null) {
            return before;
        }
        int completed = entry.completed() + 1;
        if (completed >= PROBATION_CALLS) {
            return with(before, serverId, null);
        }
        return with(
                before,
                serverId,
                new Entry(entry.ejected(), entry.untilNanos(), entry.times(), completed));
    }

    private static Map<String, Entry> with(
            Map<String, Entry> before, String serverId, @Nullable Entry entry) {
        Map<String, Entry> after = new HashMap<>(before);
        if (entry == null) {
            after.remove(serverId);
        } else {
            after.put(serverId, entry);
        }
        return Map.copyOf(after);
    }

    private Map<String, Entry> change(UnaryOperator<Map<String, Entry>> change) {
        while (true) {
            Map<String, Entry> before = entries();
            Map<String, Entry> after = change.apply(before);
            if (after == before || entries.compareAndSet(before, after)) {
                return after;
            }
        }
    }

    private Map<String, Entry> entries() {
        return Objects.requireNonNull(entries.get());
    }
}
