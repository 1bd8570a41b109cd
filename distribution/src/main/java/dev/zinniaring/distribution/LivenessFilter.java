package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.membership.Member;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.model.EndpointRecord;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Identifies records to discard because the node that wrote them is dead or unknown. Runs in the
 * mailbox.
 */
final class LivenessFilter {
    /** Time after which the records of a node unknown to the membership are dropped. */
    private static final Duration UNKNOWN_NODE_RETENTION = Duration.ofSeconds(60);

    private static final int MAX_UNKNOWN_NODES = 4_096;

    private final Clock clock;
    private final Map<String, Long> unknownSince = new LinkedHashMap<>();

    LivenessFilter(Clock clock) {
        this.clock = clock;
    }

    /** Returns whether a record must not be used because of the state of its node. */
    boolean shouldDrop(MemberView view, EndpointRecord record) {
        Optional<Member> member = view.member(record.nodeId());
        if (member.isPresent()) {
            unknownSince.remove(record.nodeId());
            return !member.get().isLive();
        }
        if (unknownSince.size() >= MAX_UNKNOWN_NODES) {
            return !unknownSince.containsKey(record.nodeId());
        }
        long since = unknownSince.computeIfAbsent(record.nodeId(), id -> clock.nanos());
        return clock.since(since).compareTo(UNKNOWN_NODE_RETENTION) >= 0;
    }
}
