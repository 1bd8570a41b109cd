package dev.zinniaring.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The members as this node knows them, the newest view of each. Those that died or left are
 * remembered for a time, so that older news of them does not bring them back.
 */
final class MemberTable {
    private static final int MAX_REMEMBERED = 4_096;

    private final long memoryNanos;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<String, Long> goneSinceNanos = new LinkedHashMap<>();
    private final MemberHashes hashes = new MemberHashes();

    /**
     * Creates a table.
     *
     * @param memory how long members that died or left are remembered
     */
    MemberTable(Duration memory) {
        this.memoryNanos = memory.toNanos();
    }

    /** Takes a view of a member and returns whether it was newer than what was known. */
    boolean merge(Member update, long nowNanos) {
        Member known = members.get(update.nodeId());
        if (known != null && !update.newerThan(known)) {
            return false;
        }
        if (known != null) {
            hashes.toggle(known, -1);
            goneSinceNanos.remove(known.nodeId());
        }
        members.put(update.nodeId(), update);
        hashes.toggle(update, 1);
        if (!update.live()) {
            goneSinceNanos.put(update.nodeId(), nowNanos);
            forgetOldest();
        }
        return true;
    }

    /** Forgets members that died or left long ago. */
    void forget(long nowNanos) {
        Iterator<Map.Entry<String, Long>> oldestFirst = goneSinceNanos.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Long> oldest = oldestFirst.next();
            if (nowNanos - oldest.getValue() < memoryNanos) {
                return;
            }
            members.remove(oldest.getKey());
            oldestFirst.remove();
        }
    }

    @Nullable Member get(String nodeId) {
        return members.get(nodeId);
    }

    Optional<Member> find(String nodeId) {
        return Optional.ofNullable(members.get(nodeId));
    }

    Collection<Member> all() {
        return members.values();
    }

    /** Returns the members of a zone whose declaration as dead is remembered. */
    List<Member> deadIn(String zone) {
        List<Member> dead = new ArrayList<>();
        for (String nodeId : goneSinceNanos.keySet()) {
            Member member = members.get(nodeId);
            if (member != null
                    && member.state() == MemberState.DEAD
                    && member.zone().equals(zone)) {
                dead.add(member);
            }
        }
        return dead;
    }

    /** Returns the members of a zone, gone ones included, in the buckets of a mask. */
    List<Member> inBuckets(String zone, long mask) {
        List<Member> found = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.zone().equals(zone) && MemberHashes.contains(mask, member.nodeId())) {
                found.add(member);
            }
        }
        return found;
    }

    MemberHashes hashes() {
        return hashes;
    }

    private void forgetOldest() {
        if (goneSinceNanos.size() > MAX_REMEMBERED) {
            Iterator<String> oldestFirst = goneSinceNanos.keySet().iterator();
            members.remove(oldestFirst.next());
            oldestFirst.remove();
        }
    }
}
