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

/** This node's record of its backend server, as other nodes learn it. Runs on the event loop. */
final class OwnRecord {
    private final SidecarSettings settings;
    private final OwnServer server;
    private final Supplier<ServerSettings> serverSettings;
    private final BooleanSupplier leaving;
    private final Consumer<EndpointRecord> published;
    private long incarnation;
    private long sequence;
    private @Nullable EndpointRecord latest;

    /**
     * Creates the record of a life that begins now.
     *
     * @param leaving whether this node leaves
     * @param published takes each new state of the record
     */
    OwnRecord(
            SidecarSettings settings,
            Clock clock,
            OwnServer server,
            Supplier<ServerSettings> serverSettings,
            BooleanSupplier leaving,
            Consumer<EndpointRecord> published) {
        this.settings = settings;
        this.server = server;
        this.serverSettings = serverSettings;
        this.leaving = leaving;
        this.published = published;
        this.incarnation = clock.now().toEpochMilli();
    }

    /** Returns the record, or nothing before there is one. */
    List<EndpointRecord> told() {
        EndpointRecord record = latest;
        return record == null ? List.of() : List.of(record);
    }

    /** Makes the present state of the backend server known, if there is one. */
    void publish() {
        Announcement known = server.latest();
        if (known == null && !leaving.getAsBoolean()) {
            return;
        }
        EndpointRecord record = record(known);
        latest = record;
        published.accept(record);
    }

    /** Keeps a clock that was set back from making this life look older than an earlier one. */
    void checkIncarnation(Collection<EndpointRecord> records) {
        for (EndpointRecord record : records) {
            if (record.nodeId().equals(settings.nodeId()) && record.incarnation() > incarnation) {
                incarnation = record.incarnation() + 1;
                publish();
            }
        }
    }

    private EndpointRecord record(@Nullable Announcement known) {
        sequence++;
        return new EndpointRecord(
                known == null ? "" : known.serverId(),
                settings.service(),
                settings.nodeId(),
                settings.zone(),
                Addresses.text(settings.announcedPeerCalls()),
                incarnation,
                sequence,
                known == null ? 1 : known.slots(),
                serverSettings.get().maxConnections(),
                state(known),
                known == null ? 0 : (int) known.coldMillis());
    }

    private EndpointState state(@Nullable Announcement known) {
        if (leaving.getAsBoolean() || known == null) {
            return EndpointState.GONE;
        }
        if (known.leaving()) {
            return EndpointState.DRAINING;
        }
        return known.coldMillis() > 0 ? EndpointState.WARMING : EndpointState.READY;
    }
}
