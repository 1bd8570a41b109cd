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
 * The newest known entry of each member. Entries of members that died or left are retained as
 * tombstones for some time, so that delayed older updates do not bring them back.
 */
final class MemberTable {
    private static final int MAX_TOMBSTONES = 4_096;

    private final long retentionNanos;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<String, Long> tombstoneSinceNanos = new LinkedHashMap<>();
    private final MemberHashes hashes = new MemberHashes();

    /**
     * Creates a table.
     *
     * @param retention how long tombstones of members that died or left are kept
     */
    MemberTable(Duration retention) {
        this.retentionNanos = retention.toNanos();
    }

    /** Applies an entry if it is newer than the known one, and returns whether it was. */
    boolean merge(Member update, long nowNanos) {
        Member known = members.get(update.nodeId());
        if (known != null && !update.newerThan(known)) {
            return false;
        }
        if (known != null) {
            hashes.toggle(known, -1);
            tombstoneSinceNanos.remove(known.nodeId());
        }
        members.put(update.nodeId(), update);
        hashes.toggle(update, 1);
        if (!update.isLive()) {
            tombstoneSinceNanos.put(update.nodeId(), nowNanos);
            evictOldestTombstone();
        }
        return true;
    }

    /** Removes the tombstones whose retention has ended. */
    void expireTombstones(long nowNanos) {
        Iterator<Map.Entry<String, Long>> oldestFirst = tombstoneSinceNanos.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Long> oldest = oldestFirst.next();
            if (nowNanos - oldest.getValue() < retentionNanos) {
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

    /** Returns the members of a zone that were declared dead and whose tombstone is retained. */
    List<Member> deadIn(String zone) {
        List<Member> dead = new ArrayList<>();
        for (String nodeId : tombstoneSinceNanos.keySet()) {
            Member member = members.get(nodeId);
            if (member != null
                    && member.state() == MemberState.DEAD
                    && member.zone().equals(zone)) {
                dead.add(member);
            }
        }
        return dead;
    }

    /** Returns the members of a zone, tombstones included, that fall into the buckets of a mask. */
    List<Member> inBuckets(String zone, long mask) {
        List<Member> found = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.zone().equals(zone) && MemberHashes.maskContains(mask, member.nodeId())) {
                found.add(member);
            }
        }
        return found;
    }

    MemberHashes hashes() {
        return hashes;
    }

    private void evictOldestTombstone() {
        if (tombstoneSinceNanos.size() > MAX_TOMBSTONES) {
            Iterator<String> oldestFirst = tombstoneSinceNanos.keySet().iterator();
            members.remove(oldestFirst.next());
            oldestFirst.remove();
        }
    }
}
