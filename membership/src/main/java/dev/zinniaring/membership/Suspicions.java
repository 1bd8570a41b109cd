package dev.zinniaring.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The suspected members of this node's availability zone and when each is declared dead. */
final class Suspicions {
    private final Duration baseTimeout;
    private final Map<String, Suspicion> suspicions = new HashMap<>();

    private static final class Suspicion {
        private final Member member;
        private long deadlineNanos;

        Suspicion(Member member, long deadlineNanos) {
            this.member = member;
            this.deadlineNanos = deadlineNanos;
        }
    }

    /**
     * Creates an empty set.
     *
     * @param baseTimeout time that suspected members of a zone of up to 10 members have to refute
     */
    Suspicions(Duration baseTimeout) {
        this.baseTimeout = baseTimeout;
    }

    /** Returns the suspicion timeout, which grows with the logarithm of the zone's size. */
    static Duration timeout(Duration baseTimeout, int zoneSize) {
        double factor = Math.max(1, (1 + Math.log10(zoneSize)) / 2);
        return Duration.ofNanos((long) (baseTimeout.toNanos() * factor));
    }

    /** Starts or ends the suspicion of a member according to its new state. */
    void update(Member member, int zoneSize, LocalHealth health, long nowNanos) {
        if (member.state() != MemberState.SUSPECT) {
            suspicions.remove(member.nodeId());
            return;
        }
        long deadlineNanos = nowNanos + health.stretchNanos(timeout(baseTimeout, zoneSize));
        suspicions.put(member.nodeId(), new Suspicion(member, deadlineNanos));
    }

    /** Extends all deadlines by the time during which this process did not run. */
    void extendDeadlines(long pausedNanos) {
        suspicions.values().forEach(s -> s.deadlineNanos += pausedNanos);
    }

    /** Removes and returns the members whose suspicion has expired. */
    List<Member> expired(long nowNanos) {
        List<Member> expired = new ArrayList<>();
        Iterator<Suspicion> all = suspicions.values().iterator();
        while (all.hasNext()) {
            Suspicion suspicion = all.next();
            if (nowNanos - suspicion.deadlineNanos >= 0) {
                expired.add(suspicion.member);
                all.remove();
            }
        }
        return expired;
    }

    int size() {
        return suspicions.size();
    }
}
