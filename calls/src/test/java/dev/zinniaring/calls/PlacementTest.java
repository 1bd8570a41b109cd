package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Route;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class PlacementTest {
    private static final long MILLI = 1_000_000L;
    private static final CallRoute ROUTE =
            new CallRoute(
                    new Route(
                            "r",
                            "h",
                            "/",
                            new TreeSet<>(),
                            "k",
                            true,
                            800,
                            1,
                            "p",
                            300,
                            new TreeMap<>()),
                    0,
                    WeightedTurns.of(Map.of("s", 1)));

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final Set<String> unreachable = new HashSet<>();
    private final Placement placement =
            new Placement(
                    clock,
                    new SplittableRandom(1),
                    "a",
                    server -> unreachable.contains(server.serverId()));

    private static EndpointRecord server(String id, String zone) {
        return new EndpointRecord(
                id, "s", "n-" + id, zone, "10.0.0.1:1", 1, 1, 6, 100, EndpointState.READY, 0);
    }

    private String choose(EndpointRecord... servers) {
        EndpointRecord chosen =
                placement.choose(List.of(servers), Set.of(), ROUTE, clock.nanos() + 300 * MILLI);
        return chosen == null ? "none" : chosen.serverId();
    }

    private void run(EndpointRecord server, long millis, int status) {
        placement.started(server);
        placement.ended(
                server,
                ROUTE,
                millis * MILLI,
                OwnerResult.ran(Answer.of(status), new ServerLoad(0, 0, 6)));
    }

    /**
     * The first calls of a node were refused, as each server seemed to be avoided at first sight.
     */
    @Test
    void aServerIsUsedAtFirstSight() {
        assertThat(choose(server("one", "b"))).isEqualTo("one");
    }

    /** Bytes between availability zones are dear. */
    @Test
    void aServerOfTheOwnZoneGoesFirstWhileItAnswersInTime() {
        EndpointRecord own = server("own", "a");
        EndpointRecord other = server("other", "b");
        for (int i = 0; i < 30; i++) {
            run(own, 100, 200);
            run(other, 60, 200);
        }
        assertThat(choose(own, other)).isEqualTo("own");
    }

    /** Calls must leave a saturated zone for one with room. */
    @Test
    void anotherZoneIsUsedWhenTheOwnIsFull() {
        EndpointRecord own = server("own", "a");
        EndpointRecord other = server("other", "b");
        run(own, 100, 200);
        run(other, 100, 200);
        for (int i = 0; i < 20; i++) {
            placement.started(own);
        }
        assertThat(choose(own, other)).isEqualTo("other");
    }

    /** A server that fails part of its calls while its health check is good must be left. */
    @Test
    void aServerThatFailsIsLeftForOneOfAnotherZone() {
        EndpointRecord grey = server("grey", "a");
        EndpointRecord sound = server("sound", "b");
        for (int i = 0; i < 40; i++) {
            run(grey, 100, i % 2 == 0 ? 500 : 200);
            run(sound, 100, 200);
        }
        assertThat(choose(grey, sound)).isEqualTo("sound");
    }

    /** A node behind a cut must not be chosen again and again. */
    @Test
    void aRefusingServerIsAvoidedForAWhile() {
        EndpointRecord down = server("down", "a");
        placement.started(down);
        placement.ended(down, ROUTE, 0, OwnerResult.notRun("peer-unreachable", null));
        assertThat(choose(down)).isEqualTo("none");
        clock.advance(Duration.ofMillis(1_100));
        assertThat(choose(down)).isEqualTo("down");
    }

    @Test
    void anUnreachableServerIsNotChosen() {
        unreachable.add("one");
        assertThat(choose(server("one", "a"))).isEqualTo("none");
    }

    /** Lookups found no server, since it had just refused a history read for want of room. */
    @Test
    void aServerThatIsFullForOneRouteIsChosenForAnother() {
        EndpointRecord busy = server("busy", "a");
        CallRoute other =
                new CallRoute(
                        new Route("history", "h", "/h/", new TreeSet<>(), "k", true, 2_000, 1, "p"),
                        2,
                        WeightedTurns.of(Map.of("s", 1)));
        placement.started(busy);
        placement.ended(busy, other, 0, OwnerResult.notRun("full", new ServerLoad(6, 9, 6)));
        assertThat(placement.choose(List.of(busy), Set.of(), other, clock.nanos())).isNull();
        assertThat(choose(busy)).isEqualTo("busy");
    }
}
