package dev.zinniaring.sidecar;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ClockReading;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.store.FutureFailures;
import dev.zinniaring.store.RowConflictException;
import dev.zinniaring.store.RowPage;
import dev.zinniaring.store.RowStore;
import java.io.IOException;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets one node at a time lead, by a row of the store that the leader renews. The row says when it
 * expires by the store's own clock, so that no two clocks are compared. The leader stops before
 * that moment, also if the store does not answer it or its VM was suspended; another node takes the
 * row over once the moment has passed, on condition that the row has not changed. Used on the event
 * loop only.
 */
final class Leadership {
    static final String TABLE = "zinniaring-control";
    static final String KEY = "leader";

    /** Time for which the row is valid after each renewal. */
    static final long LEASE_MILLIS = 3_000;

    /** Time between renewals; two may fail. */
    static final long RENEWAL_MILLIS = 1_000;

    /** The leader stops this long before the row expires, so that its last answers arrive. */
    private static final long MARGIN_MILLIS = 300;

    /** Age at which a reading of the store's clock is replaced, as clocks drift. */
    private static final long MAX_READING_MILLIS = 60_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final Logger log = LoggerFactory.getLogger("control");

    private final RowStore store;
    private final String nodeId;
    private final String address;
    private final Scheduler scheduler;
    private final Clock clock;
    private @Nullable StoreTime storeTime;
    private @Nullable Holder holder;
    private long revision;
    private long term;
    private boolean held;
    private boolean pending;
    private boolean readNeeded = true;
    private long nextReadNanos;

    /** A reading of the store's clock, no earlier than {@code asked}. */
    private record StoreTime(long millis, ClockReading asked) {}

    /**
     * The leader as the row names it.
     *
     * @param expiresMillis time of the store's clock at which another node may take over
     */
    record Holder(String nodeId, String address, long expiresMillis) {
        byte[] encode() {
            try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
                packer.packArrayHeader(3);
                packer.packString(nodeId);
                packer.packString(address);
                packer.packLong(expiresMillis);
                return packer.toByteArray();
            } catch (IOException e) {
                throw new IllegalStateException("failed to encode the leader's row", e);
            }
        }

        /** Decodes a row; returns null if it is malformed, so that it can be taken over. */
        static @Nullable Holder decode(byte[] bytes) {
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
                unpacker.unpackArrayHeader();
                return new Holder(
                        unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
            } catch (IOException | MessagePackException e) {
                return null;
            }
        }
    }

    /**
     * Creates a node that does not lead.
     *
     * @param address {@code ip:port} at which other nodes reach this one
     */
    Leadership(RowStore store, String nodeId, String address, Scheduler scheduler, Clock clock) {
        this.store = store;
        this.nodeId = nodeId;
        this.address = address;
        this.scheduler = scheduler;
        this.clock = clock;
        this.nextReadNanos = clock.nanos();
    }

    /** Returns whether this node leads now. */
    boolean leading() {
        Holder known = holder;
        return held && known != null && storeMillis() + MARGIN_MILLIS < known.expiresMillis();
    }

    /** Returns the latest possible time of the store's clock, or a time past every lease. */
    private long storeMillis() {
        StoreTime known = storeTime;
        if (known == null) {
            return Long.MAX_VALUE / 2;
        }
        long ageMillis = known.asked().ageMillis(clock);
        return ageMillis >= ClockReading.UNKNOWN_MILLIS
                ? Long.MAX_VALUE / 2
                : known.millis() + ageMillis;
    }

    /** Returns the revision at which this node took the row, by which leaders are ordered. */
    long term() {
        return term;
    }

    /** Returns the leader that the row named when it was read last, null if none. */
    @Nullable Holder holder() {
        return holder;
    }

    /**
     * Renews the row if this node holds it, or tries to take it.
     *
     * @param candidate whether this node should lead if no other one does
     */
    void tick(boolean candidate) {
        if (pending) {
            return;
        }
        if (held && !readNeeded) {
            StoreTime read = storeTime;
            boolean clockKnown = read != null && read.asked().ageMillis(clock) < MAX_READING_MILLIS;
            if (!clockKnown) {
                read();
            } else if (holder == null
                    || storeMillis() > holder.expiresMillis() - LEASE_MILLIS + RENEWAL_MILLIS) {
                write();
            }
        } else if (held || (candidate && clock.nanos() - nextReadNanos >= 0)) {
            read();
        }
    }

    /** Gives the row up, so that another node can lead at once. */
    void release() {
        if (held) {
            lose("given up");
            store.delete(TABLE, KEY, revision);
            readNeeded = true;
        }
    }

    private void read() {
        pending = true;
        nextReadNanos = clock.nanos() + RENEWAL_MILLIS * NANOS_PER_MILLI;
        ClockReading asked = ClockReading.of(clock);
        store.list(TABLE)
                .whenComplete(
                        (page, failure) -> scheduler.execute(() -> onRead(asked, page, failure)));
    }

    private void onRead(ClockReading asked, @Nullable RowPage page, @Nullable Throwable failure) {
        pending = false;
        if (page == null) {
            log.debug("could not read the leader's row", failure);
            return;
        }
        readNeeded = false;
        storeTime = new StoreTime(page.nowMillis(), asked);
        RowPage.TableRow row = null;
        for (RowPage.TableRow each : page.rows()) {
            row = each.key().equals(KEY) && !each.deleted() ? each : row;
        }
        Holder named = row == null ? null : Holder.decode(row.value());
        long rowRevision = row == null ? RowStore.ABSENT : row.revision();
        boolean own = named != null && named.nodeId().equals(nodeId);
        if (held && (!own || rowRevision < revision)) {
            lose("taken over");
        }
        holder = named;
        revision = rowRevision;
        if (named == null || own || page.nowMillis() >= named.expiresMillis()) {
            write();
        }
    }

    private void write() {
        pending = true;
        Holder next = new Holder(nodeId, address, storeMillis() + LEASE_MILLIS);
        store.put(TABLE, KEY, next.encode(), revision)
                .whenComplete(
                        (written, failure) ->
                                scheduler.execute(() -> onWritten(next, written, failure)));
    }

    private void onWritten(Holder next, @Nullable Long written, @Nullable Throwable failure) {
        pending = false;
        if (written != null) {
            holder = next;
            revision = written;
            if (!held) {
                held = true;
                term = written;
                log.info("leads node={} term={}", nodeId, term);
            }
            return;
        }
        readNeeded = true;
        if (held && FutureFailures.unwrap(failure) instanceof RowConflictException) {
            lose("row changed");
        }
    }

    private void lose(String reason) {
        held = false;
        log.info("no longer leads node={} term={} reason=\"{}\"", nodeId, term, reason);
    }

    /** Returns the state, for operators. */
    @Override
    public String toString() {
        return "leading=%s term=%d holder=%s".formatted(leading(), term, Objects.toString(holder));
    }
}
