package dev.zinniaring.node;

import dev.zinniaring.admission.AdmissionController;
import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.calls.ServerNotice;
import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.RateLimit;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.Version;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The local backend servers that announce themselves to this node. */
final class LocalServers {
    /** A server is removed after three missed announcements; the announcement period is 1 s. */
    static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);

    private static final Logger log = LoggerFactory.getLogger(LocalServers.class);

    private final Endpoints endpoints;
    private final AdmissionFactory admissions;
    private final CrashGuard guard;
    private final Clock clock;
    private final Map<String, LocalServer> servers = new ConcurrentHashMap<>();
    private final Set<String> leaving = ConcurrentHashMap.newKeySet();
    private Tables tables = Tables.EMPTY;

    LocalServers(Endpoints endpoints, AdmissionFactory admissions, CrashGuard guard, Clock clock) {
        this.endpoints = endpoints;
        this.admissions = admissions;
        this.guard = guard;
        this.clock = clock;
    }

    @Nullable LocalServer find(String serverId) {
        return servers.get(serverId);
    }

    Collection<LocalServer> all() {
        return List.copyOf(servers.values());
    }

    /** Adds a backend server, or updates it, from its announcement. */
    synchronized void announce(String serverId, Announcement announcement) {
        Announcement announced =
                leaving.contains(serverId)
                        ? announcement.withState(EndpointState.DRAINING)
                        : announcement;
        LocalServer before = servers.get(serverId);
        AdmissionController admission = admission(before, announced);
        LocalServer now =
                new LocalServer(
                        serverId,
                        announced,
                        HopRequests.text(announced.address()),
                        admission,
                        clock.nanos());
        servers.put(serverId, now);
        if (before == null || before.announced().state() != announced.state()) {
            log.info("backend server {} announced state {}", serverId, announced.state());
        }
        if (announced.state() == EndpointState.DRAINING) {
            admission.drain();
        }
        endpoints.announce(record(serverId, announced));
    }

    /**
     * Applies what a backend server said about itself in an answer. That it is leaving holds until
     * it is removed.
     */
    void answered(LocalServer server, ServerNotice notice) {
        if (!notice.limitMalformed()) {
            server.admission().limitRate(notice.limitPerSecond().orElse(RateLimit.NONE));
        }
        if (notice.leaving() && leaving.add(server.serverId())) {
            log.info("backend server {} said that it is leaving", server.serverId());
            announce(server.serverId(), server.announced());
        }
    }

    private AdmissionController admission(@Nullable LocalServer before, Announcement announced) {
        if (before == null || replaced(before.announced(), announced)) {
            return create(announced, null);
        }
        if (before.announced().slots() != announced.slots()) {
            before.admission().resize(announced.slots());
        }
        return before.admission();
    }

    private AdmissionController create(
            Announcement announced, @Nullable AdmissionController before) {
        return admissions.create(
                announced.slots(),
                announced.connections(),
                tables.ranks().values(),
                pool(announced.service()),
                before);
    }

    /** A server that returned after draining, or that moved, gets a new admission controller. */
    private static boolean replaced(Announcement before, Announcement now) {
        boolean back =
                before.state() == EndpointState.DRAINING && now.state() != EndpointState.DRAINING;
        return back
                || !before.service().equals(now.service())
                || before.connections() != now.connections()
                || !before.address().equals(now.address());
    }

    private @Nullable Pool pool(String service) {
        for (Pool pool : tables.pools().values()) {
            if (pool.service().equals(service)) {
                return pool;
            }
        }
        return null;
    }

    private static Endpoints.LocalEndpoint record(String serverId, Announcement announced) {
        return new Endpoints.LocalEndpoint(
                serverId,
                announced.service(),
                announced.slots(),
                announced.connections(),
                announced.state(),
                announced.warmUpMillis());
    }

    /** Replaces the admission controllers of all servers if the ranks or pools have changed. */
    synchronized void versionChanged(Version version) {
        Tables before = tables;
        tables = version.tables();
        if (before.ranks().equals(tables.ranks()) && before.pools().equals(tables.pools())) {
            return;
        }
        for (LocalServer server : all()) {
            AdmissionController admission = create(server.announced(), server.admission());
            if (server.announced().state() == EndpointState.DRAINING) {
                admission.drain();
            }
            servers.put(
                    server.serverId(),
                    new LocalServer(
                            server.serverId(),
                            server.announced(),
                            server.target(),
                            admission,
                            server.announcedNanos()));
        }
    }

    /** Removes a backend server that leaves; calls that it already runs can finish. */
    synchronized boolean withdraw(String serverId) {
        LocalServer removed = servers.remove(serverId);
        leaving.remove(serverId);
        if (removed == null) {
            return false;
        }
        removed.admission().drain();
        endpoints.withdraw(serverId);
        log.info("backend server {} removed", serverId);
        return true;
    }

    /** Removes the servers whose announcements have stopped, and reports them as crashed. */
    void expire() {
        for (LocalServer server : all()) {
            if (clock.since(server.announcedNanos()).compareTo(SILENCE_LIMIT) > 0) {
                log.warn("backend server {} stopped sending announcements", server.serverId());
                guard.serverCrashed(server.serverId());
                withdraw(server.serverId());
            }
        }
    }

    /** Makes each admission controller shed the queued calls whose time is up. */
    void expireQueues() {
        for (LocalServer server : servers.values()) {
            server.admission().expire();
        }
    }

    synchronized void withdrawAll() {
        for (LocalServer server : all()) {
            withdraw(server.serverId());
        }
    }
}
