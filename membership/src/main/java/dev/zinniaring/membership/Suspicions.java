package dev.zinniaring.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The suspected members of this node's own zone and when each is declared dead. */
final class Suspicions {
    private final Duration base;
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
     * @param base time that members of a small zone have to refute
     */
    Suspicions(Duration base) {
        this.base = base;
    }

    /** Returns the time to refute, which grows with the logarithm of the zone's size. */
    static Duration timeout(Duration base, int zoneSize) {
        double factor = Math.max(1, (1 + Math.log10(zoneSize)) / 2);
        return Duration.ofNanos((long) (base.toNanos() * factor));
    }

    /** Follows a change of a member: begins or ends its suspicion. */
    void changed(Member member, int zoneSize, LocalHealth health, long nowNanos) {
        if (member.state() != MemberState.SUSPECT) {
            suspicions.remove(member.nodeId());
            return;
        }
        long deadlineNanos = nowNanos + health.stretchNanos(timeout(base, zoneSize));
        suspicions.put(member.nodeId(), new Suspicion(member, deadlineNanos));
    }

    /** Gives every suspect the time that this process did not run. */
    void extend(long pausedNanos) {
        suspicions.values().forEach(s -> s.deadlineNanos += pausedNanos);
    }

    /** Removes and returns the members whose time to refute is over. */
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
