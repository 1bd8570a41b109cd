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
 * The backend server beside this node, as it announces itself. Announcements may come late, from an
 * earlier life, or from a writer that is no backend server of this VM.
 */
final class OwnServer {
    /**
     * A life that has not been heard for this long has ended: three announcements are missing. A
     * clock that was set back can make the next life look older.
     */
    private static final Duration SILENCE = Duration.ofMillis(4_500);

    private final Clock clock;
    private final String service;
    private final InetSocketAddress address;
    private final Supplier<ServerSettings> settings;
    private @Nullable Announcement latest;
    private boolean probed;
    private long heardNanos;

    OwnServer(
            Clock clock,
            String service,
            InetSocketAddress address,
            Supplier<ServerSettings> settings) {
        this.clock = clock;
        this.service = service;
        this.address = address;
        this.settings = settings;
    }

    /** What an announcement changed. */
    enum Change {
        /** It is none of this VM's backend server, or of a life that has ended. */
        REFUSED,
        /** Nothing that other nodes need to know. */
        NONE,
        /** The state of the same life. */
        STATE,
        /** A new life. */
        LIFE
    }

    Change announced(Announcement news) {
        if (!news.service().equals(service) || !news.address().equals(address)) {
            return Change.REFUSED;
        }
        Announcement known = latest;
        if (known == null || probed || newLife(news, known) || replaced(news, known)) {
            boolean left = known != null && probed && known.leaving();
            latest = left && sameServer(news, known) ? withLeaving(news) : news;
            probed = false;
            heardNanos = clock.nanos();
            return Change.LIFE;
        }
        if (news.bornMillis() < known.bornMillis()) {
            return Change.REFUSED;
        }
        if (!news.serverId().equals(known.serverId())) {
            return Change.REFUSED;
        }
        return sameLife(news, known);
    }

    private static boolean sameServer(Announcement news, @Nullable Announcement known) {
        return known != null && known.serverId().equals(news.serverId());
    }

    /**
     * Returns whether the known life has ended and this is another one, whatever the clocks say.
     */
    private boolean replaced(Announcement news, Announcement known) {
        boolean other =
                !news.serverId().equals(known.serverId())
                        || news.bornMillis() != known.bornMillis();
        return other && clock.since(heardNanos).compareTo(SILENCE) > 0;
    }

    private static boolean newLife(Announcement news, Announcement known) {
        return news.bornMillis() > known.bornMillis();
    }

    private Change sameLife(Announcement news, Announcement known) {
        // A server that leaves does not come back within its life, whatever a late announcement
        // says.
        Announcement merged = known.leaving() ? withLeaving(news) : news;
        boolean newer = news.sequence() >= known.sequence();
        heardNanos = newer ? clock.nanos() : heardNanos;
        if (!newer && !news.leaving()) {
            return Change.NONE;
        }
        latest = newer ? merged : withLeaving(known);
        boolean cold = known.coldMillis() > 0 && news.coldMillis() == 0;
        boolean changed =
                merged.leaving() != known.leaving() || news.slots() != known.slots() || cold;
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
                known.coldMillis());
    }

    /**
     * Takes the withdrawal of a backend server.
     *
     * @param bornMillis start of the life that ends, or empty if it was not told
     */
    Change withdrawn(String serverId, Optional<Long> bornMillis) {
        Announcement known = latest;
        if (known == null || !known.serverId().equals(serverId)) {
            return Change.REFUSED;
        }
        if (bornMillis.isPresent() && bornMillis.get() < known.bornMillis() && !probed) {
            return Change.REFUSED;
        }
        boolean changed = !known.leaving();
        latest = withLeaving(known);
        return changed ? Change.STATE : Change.NONE;
    }

    /** Takes the id that a healthy server gave to a health check, until it announces itself. */
    boolean probed(String serverId, int slots) {
        if (latest != null) {
            return false;
        }
        latest = new Announcement(serverId, 0, 0, service, address, slots, false, 0);
        probed = true;
        return true;
    }

    /** Forgets the backend server, as another one answers in its place. */
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
