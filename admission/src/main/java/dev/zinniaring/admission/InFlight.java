package dev.zinniaring.admission;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** The calls that are in flight at each backend server, or were until a moment ago. */
final class InFlight {
    /** One call; compared by identity, because a request may be in flight twice. */
    static final class Call {
        private static final long NOT_BROKEN = Long.MIN_VALUE;

        private final String serverId;
        private final long fingerprint;
        private volatile long brokenNanos = NOT_BROKEN;

        private Call(String serverId, long fingerprint) {
            this.serverId = serverId;
            this.fingerprint = fingerprint;
        }

        private boolean brokenBefore(long nanos) {
            return brokenNanos != NOT_BROKEN && brokenNanos - nanos < 0;
        }
    }

    private final long memoryNanos;
    private final ConcurrentMap<String, Set<Call>> callsByServer = new ConcurrentHashMap<>();

    /** Creates a record that keeps broken calls for {@code memoryNanos}. */
    InFlight(long memoryNanos) {
        this.memoryNanos = memoryNanos;
    }

    Call add(String serverId, long fingerprint) {
        Call call = new Call(serverId, fingerprint);
        calls(serverId).add(call);
        return call;
    }

    void remove(Call call) {
        calls(call.serverId).remove(call);
    }

    /** Returns whether the call ran to its end; its answer may come after the crash is noticed. */
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

    /** Removes the calls of a server and returns the fingerprints of those not broken long ago. */
    Set<Long> takeAll(String serverId, long nowNanos) {
        Set<Long> fingerprints = new HashSet<>();
        for (Call call : callsByServer.getOrDefault(serverId, Set.of())) {
            boolean old = call.brokenBefore(nowNanos - memoryNanos);
            if (calls(serverId).remove(call) && !old) {
                fingerprints.add(call.fingerprint);
            }
        }
        return fingerprints;
    }

    void expire(long nowNanos) {
        for (Set<Call> calls : callsByServer.values()) {
            calls.removeIf(call -> call.brokenBefore(nowNanos - memoryNanos));
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
