package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds back a request that crashes the backend servers that run it.
 *
 * <pre>{@code
 * if (guard.verdict(fingerprint) == CrashGuard.Verdict.HOLD) { ... 503 not-run ... }
 * CrashGuard.Run run = guard.started(serverId, fingerprint);
 * run.completed();
 * }</pre>
 *
 * <p>A crash makes a suspect of every request in flight there, most of them innocent. One crash
 * never holds a request, and one completed run clears it. Of those at two crashes, a request is
 * held if no other suspect was in flight at the same crashes. Where several were, they are to run
 * apart from each other, so that the innocent ones complete and a third crash names the other.
 */
public final class CrashGuard {
    /** A server's crash is noticed at most this long after its connections broke. */
    private static final long BROKEN_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** What may be done with a request. */
    public enum Verdict {
        /** It may run. */
        RUN,
        /** It may run, where {@link #sharedCrashes} is least. */
        RUN_APART,
        /** It must not run. */
        HOLD
    }

    /** A call in flight at a backend server. The first of the methods that is called counts. */
    public interface Run {
        /** The backend server answered: the request does not crash it. */
        void completed();

        /**
         * The connection broke, or the caller gave up after the call was sent. Either may come
         * shortly before the crash is noticed.
         */
        void broken();

        /** The call was never sent. */
        void abandoned();
    }

    private final Clock clock;
    private final String nodeId;
    private final HoldRule rule;
    private final long ttlNanos;
    private final int maxSuspects;
    private final InFlight inFlight = new InFlight(BROKEN_MEMORY_NANOS);
    private final ConcurrentMap<Long, Suspicion> suspects = new ConcurrentHashMap<>();
    private final AtomicLong crashes;
    private final AtomicLong revision = new AtomicLong();

    private CrashGuard(Builder builder) {
        this.clock = builder.clock;
        this.nodeId = builder.nodeId;
        this.rule = builder.rule;
        this.ttlNanos = builder.ttl.toNanos();
        this.maxSuspects = builder.maxSuspects;
        // Starts at the wall clock, so that crashes of an earlier life of the node differ.
        this.crashes = new AtomicLong(clock.now().toEpochMilli());
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns what may be done with a request. */
    public Verdict verdict(long fingerprint) {
        Suspicion suspicion = suspects.get(fingerprint);
        if (suspicion == null || expired(suspicion)) {
            return Verdict.RUN;
        }
        Set<String> active = suspicion.active();
        if (active.isEmpty()) {
            return Verdict.RUN;
        }
        return rule.verdict(active.size(), () -> sharedByOther(fingerprint, active));
    }

    /** Notes that a call is sent to a backend server. */
    public Run started(String serverId, long fingerprint) {
        InFlight.Call call = inFlight.add(serverId, fingerprint);
        return new Run() {
            @Override
            public void completed() {
                if (inFlight.completed(call)) {
                    clear(fingerprint);
                }
            }

            @Override
            public void broken() {
                inFlight.broken(call, clock.nanos());
            }

            @Override
            public void abandoned() {
                inFlight.remove(call);
            }
        };
    }

    /** Notes that a backend server has crashed with whatever was in flight there. */
    public void crashed(String serverId) {
        long nowNanos = clock.nanos();
        Set<Long> fingerprints = inFlight.takeAll(serverId, nowNanos);
        if (fingerprints.isEmpty()) {
            return;
        }
        Suspicion crash = Suspicion.of(nodeId + ":" + crashes.incrementAndGet(), nowNanos);
        for (long fingerprint : fingerprints) {
            accuse(fingerprint, crash);
        }
        revision.incrementAndGet();
    }

    /**
     * Returns how many crashes a request shares with the most similar other suspect in flight at a
     * backend server. A request to be run apart goes where this is least: run together once more,
     * the two could not be told apart.
     */
    public int sharedCrashes(String serverId, long fingerprint) {
        Suspicion suspicion = suspects.get(fingerprint);
        if (suspicion == null) {
            return 0;
        }
        Set<String> active = suspicion.active();
        int most = 0;
        for (long other : inFlight.fingerprints(serverId)) {
            Suspicion otherSuspicion = suspects.get(other);
            if (other != fingerprint && otherSuspicion != null) {
                Set<String> shared = new HashSet<>(otherSuspicion.active());
                shared.retainAll(active);
                most = Math.max(most, shared.size());
            }
        }
        return most;
    }

    /**
     * Returns whether another call in flight at a backend server is a suspect of the same crash.
     */
    public boolean suspectInFlight(String serverId, long fingerprint) {
        return sharedCrashes(serverId, fingerprint) > 0;
    }

    /** Returns a number that changes when there is something new to spread. */
    public long revision() {
        return revision.get();
    }

    /** Returns what is to be spread to other nodes, cleared suspects included. */
    public List<Suspect> export() {
        long nowNanos = clock.nanos();
        List<Suspect> exported = new ArrayList<>();
        for (Map.Entry<Long, Suspicion> entry : suspects.entrySet()) {
            Suspicion suspicion = entry.getValue();
            long ageNanos = Math.max(0, nowNanos - suspicion.lastCrashNanos());
            exported.add(
                    new Suspect(
                            entry.getKey(),
                            suspicion.crashes(),
                            suspicion.cleared(),
                            TimeUnit.NANOSECONDS.toMillis(ageNanos)));
        }
        return exported;
    }

    /** Takes up what other nodes spread; returns whether any of it was new. */
    public boolean merge(Collection<Suspect> others) {
        boolean changed = false;
        for (Suspect other : others) {
            long ageNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, other.ageMillis()));
            if (ageNanos < ttlNanos) {
                Suspicion suspicion =
                        new Suspicion(other.crashes(), other.cleared(), clock.nanos() - ageNanos);
                changed |= accuse(other.fingerprint(), suspicion);
            }
        }
        if (changed) {
            revision.incrementAndGet();
        }
        return changed;
    }

    /** Drops what has expired. To be called by a timer, about every second. */
    public void expire() {
        suspects.values().removeIf(this::expired);
        inFlight.expire(clock.nanos());
    }

    /** Returns how many requests are suspects, cleared ones included. */
    public int size() {
        return suspects.size();
    }

    private boolean accuse(long fingerprint, Suspicion suspicion) {
        if (suspects.size() >= maxSuspects && !suspects.containsKey(fingerprint)) {
            return false;
        }
        Suspicion before = suspects.putIfAbsent(fingerprint, suspicion);
        while (before != null) {
            Suspicion united = before.unite(suspicion);
            boolean same =
                    united.crashes().equals(before.crashes())
                            && united.cleared().equals(before.cleared());
            if (same) {
                return false;
            }
            if (suspects.replace(fingerprint, before, united)) {
                return true;
            }
            before = suspects.putIfAbsent(fingerprint, suspicion);
        }
        return true;
    }

    private void clear(long fingerprint) {
        Suspicion before = suspects.get(fingerprint);
        while (before != null && !before.active().isEmpty()) {
            if (suspects.replace(fingerprint, before, before.clear())) {
                revision.incrementAndGet();
                return;
            }
            before = suspects.get(fingerprint);
        }
    }

    private boolean sharedByOther(long fingerprint, Set<String> crashIds) {
        for (Map.Entry<Long, Suspicion> other : suspects.entrySet()) {
            if (other.getKey() != fingerprint && other.getValue().active().containsAll(crashIds)) {
                return true;
            }
        }
        return false;
    }

    private boolean expired(Suspicion suspicion) {
        return clock.nanos() - suspicion.lastCrashNanos() >= ttlNanos;
    }

    /** Sets up a {@link CrashGuard}. */
    public static final class Builder {
        private Clock clock = Clock.system();
        private String nodeId = "node";
        private HoldRule rule = HoldRule.withEvidence();
        private Duration ttl = Duration.ofMinutes(10);
        private int maxSuspects = 10_000;

        private Builder() {}

        /** Sets the clock; the system's by default. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets the id of this node, which makes the ids of crashes unique in the mesh. */
        public Builder nodeId(String value) {
            this.nodeId = value;
            return this;
        }

        /** Sets when a request is held; with evidence by default. */
        public Builder rule(HoldRule value) {
            this.rule = value;
            return this;
        }

        /** Sets how long a suspect is remembered after its last crash; 10 minutes by default. */
        public Builder ttl(Duration value) {
            this.ttl = value;
            return this;
        }

        /** Sets how many suspects are remembered; 10,000 by default. */
        public Builder maxSuspects(int value) {
            this.maxSuspects = value;
            return this;
        }

        /** Returns the guard. */
        public CrashGuard build() {
            return new CrashGuard(this);
        }
    }
}
