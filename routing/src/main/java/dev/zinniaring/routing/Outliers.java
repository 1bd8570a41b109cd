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
 * Excludes backend servers whose calls fail or are too slow, and readmits them gradually.
 *
 * <p>A server to which no connection can be established is avoided immediately, at first for a
 * second. A server whose calls fail or take far longer than those of others is ejected for a longer
 * time, but never more than a third of a pool, because ejection does not help against a fault that
 * all servers share. After that time a server is on probation: it gets one call at a time until it
 * has completed several, and a failure ejects it again for twice as long. Health checks are not
 * used.
 */
public final class Outliers {
    /** Which calls a server may get. */
    public enum Standing {
        /** Its regular share of the calls. */
        GOOD,
        /** One call at a time. */
        PROBATION,
        /** No calls while any other server is left. */
        EXCLUDED
    }

    private record Entry(boolean ejected, long excludedUntilNanos, int exclusions, int completed) {}

    private static final int PROBATION_CALLS = 3;
    private static final int MAX_DOUBLINGS = 5;
    private static final int EJECTED_POOL_DIVISOR = 3;

    private final Clock clock;
    private final long avoidNanos;
    private final long ejectNanos;
    private final AtomicReference<Map<String, Entry>> entries = new AtomicReference<>(Map.of());

    /**
     * Creates an instance in which every server is in good standing.
     *
     * @param avoid how long a server is avoided after its first connect failure
     * @param eject how long a server is ejected the first time
     */
    public Outliers(Clock clock, Duration avoid, Duration eject) {
        this.clock = clock;
        this.avoidNanos = avoid.toNanos();
        this.ejectNanos = eject.toNanos();
    }

    /** Returns whether every server is in good standing, with a single atomic read. */
    public boolean none() {
        return entries().isEmpty();
    }

    /** Returns the current standing of a server. */
    public Standing standing(String serverId) {
        Entry entry = entries().get(serverId);
        if (entry == null) {
            return Standing.GOOD;
        }
        return clock.nanos() - entry.excludedUntilNanos() < 0
                ? Standing.EXCLUDED
                : Standing.PROBATION;
    }

    /** Excludes a server to which no connection could be established. */
    public void avoid(String serverId) {
        change(before -> withEntry(before, serverId, false));
    }

    /**
     * Ejects a server, unless more than a third of its pool would then be ejected.
     *
     * @param poolServerIds ids of all servers of the pool
     * @return whether the server is ejected now
     */
    public boolean eject(String serverId, Set<String> poolServerIds) {
        Map<String, Entry> after =
                change(
                        before ->
                                ejectionAllowed(before, serverId, poolServerIds)
                                        ? withEntry(before, serverId, true)
                                        : before);
        Entry entry = after.get(serverId);
        return entry != null && entry.ejected() && standing(serverId) == Standing.EXCLUDED;
    }

    /** Records a completed call, which counts towards the end of a probation. */
    public void completed(String serverId) {
        if (standing(serverId) == Standing.PROBATION) {
            change(before -> withCompleted(before, serverId));
        }
    }

    /** Removes the entries of all servers except {@code serverIds}. */
    public void retain(Set<String> serverIds) {
        change(
                before -> {
                    Map<String, Entry> after = new HashMap<>(before);
                    after.keySet().retainAll(serverIds);
                    return after.size() == before.size() ? before : Map.copyOf(after);
                });
    }

    private boolean ejectionAllowed(Map<String, Entry> present, String serverId, Set<String> pool) {
        long nowNanos = clock.nanos();
        long ejected =
                pool.stream()
                        .filter(other -> !other.equals(serverId))
                        .map(present::get)
                        .filter(Objects::nonNull)
                        .filter(
                                entry ->
                                        entry.ejected()
                                                && nowNanos - entry.excludedUntilNanos() < 0)
                        .count();
        return ejected + 1 <= pool.size() / EJECTED_POOL_DIVISOR;
    }

    private Map<String, Entry> withEntry(
            Map<String, Entry> before, String serverId, boolean eject) {
        long nowNanos = clock.nanos();
        Entry present = before.get(serverId);
        if (present != null
                && nowNanos - present.excludedUntilNanos() < 0
                && present.ejected() == eject) {
            return before;
        }
        int exclusions = present == null ? 0 : present.exclusions();
        long baseNanos = eject ? ejectNanos : avoidNanos;
        long excludedUntilNanos = nowNanos + (baseNanos << Math.min(MAX_DOUBLINGS, exclusions));
        if (present != null && present.excludedUntilNanos() - excludedUntilNanos > 0) {
            excludedUntilNanos = present.excludedUntilNanos();
        }
        return withEntry(before, serverId, new Entry(eject, excludedUntilNanos, exclusions + 1, 0));
    }

    private static Map<String, Entry> withCompleted(Map<String, Entry> before, String serverId) {
        Entry entry = before.get(serverId);
        if (entry == null) {
            return before;
        }
        int completed = entry.completed() + 1;
        if (completed >= PROBATION_CALLS) {
            return withEntry(before, serverId, null);
        }
        return withEntry(
                before,
                serverId,
                new Entry(
                        entry.ejected(),
                        entry.excludedUntilNanos(),
                        entry.exclusions(),
                        completed));
    }

    private static Map<String, Entry> withEntry(
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
