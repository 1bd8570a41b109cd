package dev.zinniaring.sidecar;

import dev.zinniaring.calls.CallCounters;
import dev.zinniaring.kernel.Scheduler;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the store's era and repairs what a restore of the store from an older copy invalidates:
 * revisions that were given out again, and this node's row.
 */
final class StoreEraMonitor {
    private static final Logger log = LoggerFactory.getLogger("store");

    /**
     * Time over which nodes spread the writes of their rows after the store was restored, for each
     * node: all rows are in one part of the table, which takes 200 writes a second.
     */
    private static final long REWRITE_MILLIS_PER_NODE = 10;

    private final ServerDirectory directory;
    private final List<TableWatcher> watchers;
    private final PeerGossip gossip;
    private final RecordWriter writer;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final CallCounters counters;

    StoreEraMonitor(
            ServerDirectory directory,
            List<TableWatcher> watchers,
            PeerGossip gossip,
            RecordWriter writer,
            Scheduler scheduler,
            RandomGenerator random,
            CallCounters counters) {
        this.directory = directory;
        this.watchers = List.copyOf(watchers);
        this.gossip = gossip;
        this.writer = writer;
        this.scheduler = scheduler;
        this.random = random;
        this.counters = counters;
    }

    /**
     * Handles an era that the store or a peer has named; does nothing if it is not a later one.
     *
     * @param source who named it, for the log
     */
    void onEra(long era, String source) {
        long before = directory.era();
        if (era <= before) {
            return;
        }
        long revisionBefore = directory.revision();
        directory.enterEra(era);
        if (before > 0) {
            counters.increment("store_restored");
            log.warn(
                    "store was restored from a copy era={} before={} from={} revision_before={}",
                    era,
                    before,
                    source,
                    revisionBefore);
            repair();
        }
    }

    private void repair() {
        watchers.forEach(TableWatcher::listAgain);
        gossip.push();
        double spreadMillis = (double) directory.records().size() * REWRITE_MILLIS_PER_NODE;
        scheduler.after(
                Duration.ofMillis((long) (spreadMillis * random.nextDouble())), writer::writeAgain);
    }
}
