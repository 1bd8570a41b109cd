package dev.zinniaring.sidecar;

import dev.zinniaring.calls.LocalServer;
import dev.zinniaring.calls.ServerSettings;
import dev.zinniaring.kernel.Clock;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the backend server of this node by its announcements. Announcements may be delayed, may
 * belong to an earlier incarnation, or may come from a sender that is not the backend server of
 * this VM.
 */
final class LocalServerTracker {
    /**
     * An incarnation without announcements for this long, three announcement periods, has ended.
     * Its successor is then accepted even if it looks older, as it does after a clock was set back.
     */
    private static final Duration INCARNATION_TIMEOUT = Duration.ofMillis(4_500);

    /** An incarnation that starts later than this from now was not announced by its server. */
    private static final Duration MAX_START_AHEAD = Duration.ofDays(1);

    private final Clock clock;
    private final String service;
    private final InetSocketAddress address;
    private final Supplier<ServerSettings> settings;
    private @Nullable Announcement latest;
    private boolean foundByProbe;
    private long lastAnnouncementNanos;
    private String leftServerId = "";
    private long leftBornBeforeMillis;

    LocalServerTracker(
            Clock clock,
            String service,
            InetSocketAddress address,
            Supplier<ServerSettings> settings) {
        this.clock = clock;
        this.service = service;
        this.address = address;
        this.settings = settings;
    }

    /** Effect of an announcement; the names are written to the log. */
    enum Change {
        /** Rejected: not from this VM's backend server, or from an incarnation that has ended. */
        REFUSED,
        /** No change that other nodes need to know. */
        NONE,
        /** The state of the current incarnation changed. */
        STATE,
        /** A new incarnation started. */
        LIFE
    }

    Change handleAnnouncement(Announcement announcement) {
        long latestStartMillis = clock.now().plus(MAX_START_AHEAD).toEpochMilli();
        if (!announcement.service().equals(service)
                || !announcement.address().equals(address)
                || announcement.bornMillis() > latestStartMillis) {
            return Change.REFUSED;
        }
        Announcement known = latest;
        if (known == null
                || foundByProbe
                || isNewerIncarnation(announcement, known)
                || supersedesTimedOut(announcement, known)) {
            boolean wasLeaving = known != null && foundByProbe && known.leaving();
            latest =
                    (wasLeaving && sameServer(announcement, known)) || hasLeft(announcement)
                            ? withLeaving(announcement)
                            : announcement;
            foundByProbe = false;
            lastAnnouncementNanos = clock.nanos();
            return Change.LIFE;
        }
        if (announcement.bornMillis() < known.bornMillis()) {
            return Change.REFUSED;
        }
        if (!announcement.serverId().equals(known.serverId())) {
            return Change.REFUSED;
        }
        return updateIncarnation(announcement, known);
    }

    /**
     * Restores from the node's earlier incarnation that a backend server was leaving. Otherwise, an
     * announcement that was delayed, or a health check that is wrong, would bring it into use
     * again.
     *
     * @param nodeStartMillis start of this incarnation of the node; a server born later is a new
     *     one under the same id
     * @return whether this changed the state of the current server
     */
    boolean restoreLeaving(String serverId, long nodeStartMillis) {
        leftServerId = serverId;
        leftBornBeforeMillis = nodeStartMillis;
        Announcement known = latest;
        if (known == null || known.leaving() || !hasLeft(known)) {
            return false;
        }
        latest = withLeaving(known);
        return true;
    }

    private boolean hasLeft(Announcement announcement) {
        return announcement.serverId().equals(leftServerId)
                && announcement.bornMillis() < leftBornBeforeMillis;
    }

    private static boolean sameServer(Announcement announcement, @Nullable Announcement known) {
        return known != null && known.serverId().equals(announcement.serverId());
    }

    /**
     * Returns whether the known incarnation has timed out and this is another one, regardless of
     * the start times.
     */
    private boolean supersedesTimedOut(Announcement announcement, Announcement known) {
        boolean other =
                !announcement.serverId().equals(known.serverId())
                        || announcement.bornMillis() != known.bornMillis();
        return other && clock.since(lastAnnouncementNanos).compareTo(INCARNATION_TIMEOUT) > 0;
    }

    private static boolean isNewerIncarnation(Announcement announcement, Announcement known) {
        return announcement.bornMillis() > known.bornMillis();
    }

    private Change updateIncarnation(Announcement announcement, Announcement known) {
        // Leaving is final within an incarnation, even if a delayed announcement contradicts it.
        Announcement merged = known.leaving() ? withLeaving(announcement) : announcement;
        boolean newer = announcement.sequence() >= known.sequence();
        lastAnnouncementNanos = newer ? clock.nanos() : lastAnnouncementNanos;
        if (!newer && !announcement.leaving()) {
            return Change.NONE;
        }
        latest = newer ? merged : withLeaving(known);
        boolean becameWarm = known.coldMillis() > 0 && announcement.coldMillis() == 0;
        boolean changed =
                merged.leaving() != known.leaving()
                        || announcement.slots() != known.slots()
                        || becameWarm;
        return changed ? Change.STATE : Change.NONE;
    }

    private static Announcement withLeaving(Announcement known) {
        return new Announcement(
                known.serverId(),
                known.bornMillis(),
                known.sequence(),
                known.service(),
                known.address(),
                known.slots(),
                true,
                known.coldMillis(),
                known.version());
    }

    /**
     * Handles the deregistration of a backend server.
     *
     * @param bornMillis start of the incarnation that ends, or empty if the request omits it
     */
    Change handleDeregistration(String serverId, Optional<Long> bornMillis) {
        Announcement known = latest;
        if (known == null || !known.serverId().equals(serverId)) {
            return Change.REFUSED;
        }
        if (bornMillis.isPresent() && bornMillis.get() < known.bornMillis() && !foundByProbe) {
            return Change.REFUSED;
        }
        boolean changed = !known.leaving();
        latest = withLeaving(known);
        return changed ? Change.STATE : Change.NONE;
    }

    /**
     * Sets the server found by a health check, until the server announces itself.
     *
     * @return false if a server is already known
     */
    boolean setProbed(String serverId, int slots) {
        if (latest != null) {
            return false;
        }
        Announcement probed = new Announcement(serverId, 0, 0, service, address, slots, false, 0);
        latest = hasLeft(probed) ? withLeaving(probed) : probed;
        foundByProbe = true;
        return true;
    }

    /**
     * Forgets the backend server after another one answered at its address, unless it is leaving.
     */
    void forget() {
        if (latest != null && !latest.leaving()) {
            latest = null;
        }
    }

    @Nullable Announcement latest() {
        return latest;
    }

    @Nullable LocalServer local() {
        Announcement known = latest;
        return known == null
                ? null
                : new LocalServer(
                        known.serverId(),
                        known.address(),
                        known.slots(),
                        settings.get(),
                        known.leaving());
    }
}
