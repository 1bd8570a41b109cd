package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.ServerSettings;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Builds and publishes the endpoint record of this node's backend server. Used only on the event
 * loop.
 */
final class LocalRecordPublisher {
    private static final Logger log = LoggerFactory.getLogger("node");

    private final SidecarSettings settings;
    private final LocalServerTracker serverTracker;
    private final Supplier<ServerSettings> serverSettings;
    private final BooleanSupplier leaving;
    private final Consumer<EndpointRecord> listener;
    private final long startMillis;
    private long incarnation;
    private long sequence;
    private boolean serverEnded;
    private @Nullable EndpointRecord latest;

    /**
     * Creates a publisher whose incarnation is the current time.
     *
     * @param leaving whether this node is shutting down
     * @param listener receives each new state of the record
     */
    LocalRecordPublisher(
            SidecarSettings settings,
            Clock clock,
            LocalServerTracker serverTracker,
            Supplier<ServerSettings> serverSettings,
            BooleanSupplier leaving,
            Consumer<EndpointRecord> listener) {
        this.settings = settings;
        this.serverTracker = serverTracker;
        this.serverSettings = serverSettings;
        this.leaving = leaving;
        this.listener = listener;
        this.startMillis = clock.now().toEpochMilli();
        this.incarnation = startMillis;
    }

    /** Returns the latest published record, or an empty list before the first. */
    List<EndpointRecord> current() {
        EndpointRecord record = latest;
        return record == null ? List.of() : List.of(record);
    }

    /**
     * Publishes the current state of the backend server. While none is known, does nothing unless
     * this node is shutting down.
     */
    void publish() {
        Announcement announcement = serverTracker.latest();
        if (announcement == null && !leaving.getAsBoolean()) {
            return;
        }
        EndpointRecord record = record(announcement);
        latest = record;
        listener.accept(record);
    }

    /**
     * Publishes the state of the backend server at the shutdown of this node. If it is leaving and
     * still runs, its record stays, so that the node's next incarnation does not take it into use.
     *
     * @param endCheck runs its argument if the backend server has ended
     */
    void publishLast(Consumer<Runnable> endCheck) {
        publish();
        EndpointRecord record = latest;
        if (record != null && record.state() == EndpointState.DRAINING) {
            endCheck.accept(
                    () -> {
                        serverEnded = true;
                        publish();
                    });
        }
    }

    /**
     * Restores from records that the backend server was leaving, and replaces those that stand in
     * for this node's.
     *
     * @return whether this changed the state of the current server
     */
    boolean restore(Collection<EndpointRecord> records) {
        boolean serverLeft = restoreLeaving(records);
        raiseIncarnation(records);
        return serverLeft;
    }

    /**
     * Raises the incarnation above that of any record that other nodes would use in place of this
     * node's: one of this node, left by an earlier incarnation before the clock was set back or not
     * written by it at all, or one of another node at this node's address.
     */
    void raiseIncarnation(Collection<EndpointRecord> records) {
        for (EndpointRecord record : records) {
            if (replacesOwn(record)) {
                log.info(
                        "record in place of this node's node={} server={} incarnation={} own={}",
                        record.nodeId(),
                        record.serverId(),
                        record.incarnation(),
                        incarnation);
                incarnation = Math.max(incarnation, record.incarnation()) + 1;
                publish();
            }
        }
    }

    private boolean replacesOwn(EndpointRecord record) {
        EndpointRecord own = latest;
        if (record.nodeId().equals(settings.nodeId())) {
            return own == null ? record.incarnation() > incarnation : record.newerThan(own);
        }
        return own != null
                && record.callAddress().equals(own.callAddress())
                && record.incarnation() >= own.incarnation();
    }

    /**
     * Restores from the table that the backend server was leaving when an earlier incarnation of
     * this node ended.
     *
     * @return whether this changed the state of the current server
     */
    boolean restoreLeaving(Collection<EndpointRecord> records) {
        boolean changed = false;
        for (EndpointRecord record : records) {
            if (record.nodeId().equals(settings.nodeId())
                    && record.incarnation() != incarnation
                    && record.state() == EndpointState.DRAINING
                    && serverTracker.restoreLeaving(record.serverId(), startMillis)) {
                changed = true;
                publish();
            }
        }
        return changed;
    }

    private EndpointRecord record(@Nullable Announcement announcement) {
        sequence++;
        return new EndpointRecord(
                announcement == null ? "" : announcement.serverId(),
                settings.service(),
                settings.nodeId(),
                settings.zone(),
                Addresses.text(settings.announcedPeerCalls()),
                incarnation,
                sequence,
                announcement == null ? 1 : announcement.slots(),
                serverSettings.get().maxConnections(),
                state(announcement),
                announcement == null ? 0 : (int) announcement.coldMillis(),
                announcement == null ? "" : announcement.version());
    }

    private EndpointState state(@Nullable Announcement announcement) {
        if (announcement != null && announcement.leaving() && !serverEnded) {
            // Also at shutdown, so that the node's next incarnation restores it from the table.
            return EndpointState.DRAINING;
        }
        if (leaving.getAsBoolean() || announcement == null) {
            return EndpointState.GONE;
        }
        return announcement.coldMillis() > 0 ? EndpointState.WARMING : EndpointState.READY;
    }
}
