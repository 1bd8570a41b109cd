package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Refuses requests that repeatedly crash the backend servers that run them.
 *
 * <pre>{@code
 * if (guard.verdict(fingerprint) == CrashGuard.Verdict.HOLD) { ... 503 not-run ... }
 * CrashGuard.Run run = guard.callStarted(serverId, fingerprint);
 * run.completed();
 * }</pre>
 *
 * <p>A crash makes every request in flight at the server a suspect, although most of them did not
 * cause it. A request that has completed a run on this node since the crash before is none. A
 * single crash never causes a request to be held, and one completed run clears a suspect. A request
 * that was in flight at two crashes is held if no other suspect was in flight at both of them. If
 * there are several such suspects, each has to run at a server without the others: the harmless
 * ones then complete, and a third crash identifies the cause.
 */
public final class CrashGuard {
    /**
     * Time for which a call whose connection broke is still attributed to a crash; a crash is
     * detected at most this long after the connections to the server broke.
     */
    private static final long BROKEN_CALL_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time for which a completed run shows that a request does not crash its servers. */
    private static final long COMPLETION_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** The decision on whether a request may run. */
    public enum Verdict {
        /** The request may run at any backend server. */
        RUN,
        /** The request may run at the backend server with the lowest {@link #sharedCrashes}. */
        RUN_ISOLATED,
        /** The request must not run. */
        HOLD
    }

    /**
     * A call in flight at a backend server. One of the methods is to be called, once, when the call
     * ends. An answer that arrives after the connection broke does not clear the request.
     */
    public interface Run {
        /** The backend server answered, so the request did not crash it. */
        void completed();

        /**
         * The connection broke, or the caller gave up after the call was sent. Either can happen
         * shortly before the crash is detected.
         */
        void failed();

        /** The call was never sent. */
        void notSent();
    }

    private final Clock clock;
    private final String nodeId;
    private final HoldRule rule;
    private final long ttlNanos;
    private final int maxSuspects;
    private final InFlightCalls inFlight = new InFlightCalls(BROKEN_CALL_RETENTION_NANOS);
    private final RecentCompletions completions = new RecentCompletions(COMPLETION_RETENTION_NANOS);
    private final ConcurrentMap<Long, CrashHistory> suspects = new ConcurrentHashMap<>();

    /** Suspects that changed by what this node saw, and that it has not sent to others yet. */
    private final Set<Long> unsent = ConcurrentHashMap.newKeySet();

    private final AtomicLong crashes;
    private final AtomicLong revision = new AtomicLong();

    private CrashGuard(Builder builder) {
        this.clock = builder.clock;
        this.nodeId = builder.nodeId;
        this.rule = builder.rule;
        this.ttlNanos = builder.ttl.toNanos();
        this.maxSuspects = builder.maxSuspects;
        // Starts at the wall clock, so that crash ids stay unique after a restart of the node.
        this.crashes = new AtomicLong(clock.now().toEpochMilli());
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns whether, and with which restriction, a request may run. */
    public Verdict verdict(long fingerprint) {
        CrashHistory history = suspects.get(fingerprint);
        if (history == null || expired(history)) {
            return Verdict.RUN;
        }
        Set<String> unclearedCrashes = history.unclearedCrashes();
        if (unclearedCrashes.isEmpty()) {
            return Verdict.RUN;
        }
        return rule.verdict(
                unclearedCrashes.size(),
                () -> sharedByAnotherSuspect(fingerprint, unclearedCrashes));
    }

    /** Records that a call is about to be sent to a backend server. */
    public Run callStarted(String serverId, long fingerprint) {
        InFlightCalls.Call call = inFlight.add(serverId, fingerprint);
        return new Run() {
            @Override
            public void completed() {
                if (inFlight.completed(call)) {
                    completions.add(fingerprint, clock.nanos());
                    clearSuspect(fingerprint);
                }
            }

            @Override
            public void failed() {
                inFlight.broken(call, clock.nanos());
            }

            @Override
            public void notSent() {
                inFlight.remove(call);
            }
        };
    }

    /**
     * Records the crash of a backend server and makes all requests in flight there suspects,
     * including those whose connections broke shortly before.
     *
     * @return the fingerprints of the suspects
     */
    public Set<Long> serverCrashed(String serverId) {
        return recordCrash(serverId, inFlight.removeAll(serverId, clock.nanos()));
    }

    /**
     * Like {@link #serverCrashed}, for a server that has been started again: requests in flight at
     * its new process are no suspects, only those whose connections broke shortly before.
     */
    public Set<Long> serverRestarted(String serverId) {
        return recordCrash(serverId, inFlight.removeBroken(serverId, clock.nanos()));
    }

    private Set<Long> recordCrash(String serverId, Set<Long> fingerprints) {
        long nowNanos = clock.nanos();
        Set<Long> accused = new HashSet<>(fingerprints);
        accused.removeIf(fingerprint -> completions.remove(fingerprint, nowNanos));
        if (accused.isEmpty()) {
            return accused;
        }
        String id = nodeId + "/" + serverId + "/" + crashes.incrementAndGet();
        CrashHistory crash = CrashHistory.of(id, nowNanos);
        for (long fingerprint : accused) {
            addCrashes(fingerprint, crash);
        }
        unsent.addAll(accused);
        revision.incrementAndGet();
        return accused;
    }

    /**
     * Returns the largest number of crashes that a request has in common with any other suspect in
     * flight at a backend server. A request with the verdict {@link Verdict#RUN_ISOLATED} is sent
     * to the server with the lowest number: if two suspects shared yet another crash, it would
     * still be unknown which of them causes the crashes.
     */
    public int sharedCrashes(String serverId, long fingerprint) {
        CrashHistory history = suspects.get(fingerprint);
        if (history == null) {
            return 0;
        }
        Set<String> unclearedCrashes = history.unclearedCrashes();
        int mostShared = 0;
        for (long other : inFlight.fingerprints(serverId)) {
            CrashHistory otherHistory = suspects.get(other);
            if (other != fingerprint && otherHistory != null) {
                Set<String> shared = new HashSet<>(otherHistory.unclearedCrashes());
                shared.retainAll(unclearedCrashes);
                mostShared = Math.max(mostShared, shared.size());
            }
        }
        return mostShared;
    }

    /**
     * Returns whether another call in flight at a backend server is a suspect of at least one crash
     * that this request is a suspect of.
     */
    public boolean sharesCrashWithCallInFlight(String serverId, long fingerprint) {
        return sharedCrashes(serverId, fingerprint) > 0;
    }

    /** Returns a number that changes when there is new information to send to other nodes. */
    public long revision() {
        return revision.get();
    }

    /** Returns the suspects to send to other nodes, including cleared ones. */
    public List<Suspect> export() {
        return export(suspects.keySet());
    }

    /** Returns the suspects that changed by what this node saw since the last such request. */
    public List<Suspect> exportUnsent() {
        List<Long> taken = new ArrayList<>(unsent);
        taken.forEach(unsent::remove);
        return export(taken);
    }

    private List<Suspect> export(Collection<Long> fingerprints) {
        List<Suspect> exported = new ArrayList<>();
        for (long fingerprint : fingerprints) {
            Suspect suspect = suspect(fingerprint);
            if (suspect != null) {
                exported.add(suspect);
            }
        }
        return exported;
    }

    /** Returns what is known about a request, or null if it was in flight at no crash. */
    public @Nullable Suspect suspect(long fingerprint) {
        CrashHistory history = suspects.get(fingerprint);
        if (history == null || expired(history)) {
            return null;
        }
        return new Suspect(fingerprint, history.crashes(), history.cleared(), ageMillis(history));
    }

    private long ageMillis(CrashHistory history) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, clock.nanos() - history.lastCrashNanos()));
    }

    /** Returns the time after which a request is no longer a suspect. */
    public Duration timeToExpiry(long fingerprint) {
        CrashHistory history = suspects.get(fingerprint);
        long leftNanos =
                history == null ? 0 : ttlNanos - (clock.nanos() - history.lastCrashNanos());
        return Duration.ofNanos(Math.max(0, leftNanos));
    }

    /**
     * Returns the crashes that no completed run has cleared, for the log: each with the node that
     * reported it and the server that crashed, and the time since the last.
     */
    public String evidence(long fingerprint) {
        CrashHistory history = suspects.get(fingerprint);
        if (history == null || history.unclearedCrashes().isEmpty()) {
            return "none";
        }
        return String.join(",", new TreeSet<>(history.unclearedCrashes()))
                + " last_crash_ms="
                + ageMillis(history);
    }

    /**
     * Returns a hash of all suspects, 0 if there are none. Nodes that know the same have the same
     * hash, regardless of the order in which they learned it.
     */
    public long hash() {
        long hash = 0;
        for (Map.Entry<Long, CrashHistory> entry : suspects.entrySet()) {
            if (!expired(entry.getValue())) {
                hash += entry.getValue().hash(entry.getKey());
            }
        }
        return hash;
    }

    /** Merges suspects received from other nodes; returns whether any of the data was new. */
    public boolean merge(Collection<Suspect> others) {
        boolean changed = false;
        for (Suspect other : others) {
            long ageNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, other.ageMillis()));
            if (ageNanos < ttlNanos) {
                CrashHistory history =
                        new CrashHistory(
                                other.crashes(), other.cleared(), clock.nanos() - ageNanos);
                changed |= addCrashes(other.fingerprint(), history);
            }
        }
        if (changed) {
            revision.incrementAndGet();
        }
        return changed;
    }

    /** Removes expired entries. A timer is expected to call this about every second. */
    public void expire() {
        suspects.values().removeIf(this::expired);
        inFlight.expire(clock.nanos());
    }

    /** Returns the number of suspects, including cleared ones. */
    public int size() {
        return suspects.size();
    }

    private boolean addCrashes(long fingerprint, CrashHistory history) {
        if (suspects.size() >= maxSuspects && !suspects.containsKey(fingerprint)) {
            return false;
        }
        CrashHistory before = suspects.putIfAbsent(fingerprint, history);
        while (before != null) {
            CrashHistory merged = before.merge(history);
            boolean same =
                    merged.crashes().equals(before.crashes())
                            && merged.cleared().equals(before.cleared());
            if (same) {
                return false;
            }
            if (suspects.replace(fingerprint, before, merged)) {
                return true;
            }
            before = suspects.putIfAbsent(fingerprint, history);
        }
        return true;
    }

    private void clearSuspect(long fingerprint) {
        CrashHistory before = suspects.get(fingerprint);
        while (before != null && !before.unclearedCrashes().isEmpty()) {
            if (suspects.replace(fingerprint, before, before.clear())) {
                unsent.add(fingerprint);
                revision.incrementAndGet();
                return;
            }
            before = suspects.get(fingerprint);
        }
    }

    private boolean sharedByAnotherSuspect(long fingerprint, Set<String> crashIds) {
        for (Map.Entry<Long, CrashHistory> other : suspects.entrySet()) {
            if (other.getKey() != fingerprint
                    && other.getValue().unclearedCrashes().containsAll(crashIds)) {
                return true;
            }
        }
        return false;
    }

    private boolean expired(CrashHistory history) {
        return clock.nanos() - history.lastCrashNanos() >= ttlNanos;
    }

    /** Builds a {@link CrashGuard}. */
    public static final class Builder {
        private Clock clock = Clock.system();
        private String nodeId = "node";
        private HoldRule rule = HoldRule.whenCauseIsCertain();
        private Duration ttl = Duration.ofMinutes(10);
        private int maxSuspects = 10_000;

        private Builder() {}

        /** Sets the clock; the system clock by default. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets the id of this node, which makes the ids of crashes unique in the mesh. */
        public Builder nodeId(String value) {
            this.nodeId = value;
            return this;
        }

        /** Sets the rule for holding requests; {@link HoldRule#whenCauseIsCertain} by default. */
        public Builder rule(HoldRule value) {
            this.rule = value;
            return this;
        }

        /** Sets how long a suspect is kept after its last crash; 10 minutes by default. */
        public Builder ttl(Duration value) {
            this.ttl = value;
            return this;
        }

        /** Sets the maximum number of suspects kept; 10,000 by default. */
        public Builder maxSuspects(int value) {
            this.maxSuspects = value;
            return this;
        }

        /** Returns a new guard. */
        public CrashGuard build() {
            return new CrashGuard(this);
        }
    }
}
