package dev.zinniaring.admission;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Predicate;

/**
 * Tracks the calls in flight at each backend server, including those whose connection broke a short
 * time ago. Safe for use by several threads.
 */
final class InFlightCalls {
    /** One call; compared by identity, because the same request may be in flight twice. */
    static final class Call {
        private static final long NOT_BROKEN = Long.MIN_VALUE;

        private final String serverId;
        private final long fingerprint;
        private volatile long brokenNanos = NOT_BROKEN;

        private Call(String serverId, long fingerprint) {
            this.serverId = serverId;
            this.fingerprint = fingerprint;
        }

        private boolean broken() {
            return brokenNanos != NOT_BROKEN;
        }

        private boolean brokenBefore(long nanos) {
            return brokenNanos != NOT_BROKEN && brokenNanos - nanos < 0;
        }
    }

    private final long retentionNanos;
    private final ConcurrentMap<String, Set<Call>> callsByServer = new ConcurrentHashMap<>();

    /** Creates an instance that keeps broken calls for {@code retentionNanos}. */
    InFlightCalls(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    Call add(String serverId, long fingerprint) {
        Call call = new Call(serverId, fingerprint);
        calls(serverId).add(call);
        return call;
    }

    void remove(Call call) {
        calls(call.serverId).remove(call);
    }

    /**
     * Removes an answered call and returns whether it had not been marked as broken. The answer may
     * arrive after the crash of the server was detected.
     */
    boolean completed(Call call) {
        remove(call);
        return call.brokenNanos == Call.NOT_BROKEN;
    }

    void broken(Call call, long nowNanos) {
        call.brokenNanos = nowNanos;
    }

    Set<Long> fingerprints(String serverId) {
        Set<Long> fingerprints = new HashSet<>();
        for (Call call : callsByServer.getOrDefault(serverId, Set.of())) {
            fingerprints.add(call.fingerprint);
        }
        return fingerprints;
    }

    /**
     * Removes all calls of a server and returns their fingerprints, without those of calls that
     * broke longer ago than the retention time.
     */
    Set<Long> removeAll(String serverId, long nowNanos) {
        return remove(serverId, nowNanos, call -> true);
    }

    /** Like {@link #removeAll}, for the calls whose connection broke. */
    Set<Long> removeBroken(String serverId, long nowNanos) {
        return remove(serverId, nowNanos, Call::broken);
    }

    private Set<Long> remove(String serverId, long nowNanos, Predicate<Call> wanted) {
        Set<Long> fingerprints = new HashSet<>();
        for (Call call : callsByServer.getOrDefault(serverId, Set.of())) {
            boolean old = call.brokenBefore(nowNanos - retentionNanos);
            if (wanted.test(call) && calls(serverId).remove(call) && !old) {
                fingerprints.add(call.fingerprint);
            }
        }
        return fingerprints;
    }

    void expire(long nowNanos) {
        for (Set<Call> calls : callsByServer.values()) {
            calls.removeIf(call -> call.brokenBefore(nowNanos - retentionNanos));
        }
    }

    private Set<Call> calls(String serverId) {
        Set<Call> present = callsByServer.get(serverId);
        if (present != null) {
            return present;
        }
        return callsByServer.computeIfAbsent(serverId, id -> ConcurrentHashMap.newKeySet());
    }
}
