package dev.zinniaring.calls;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.RateLimit;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Route;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays demand above what a service takes, two of whose three servers name a limit, on the
 * decisions of twelve entry nodes and three owner nodes; time is simulated.
 */
class LimitedServersLoadTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int ENTRY_NODES = 12;
    private static final int SLOTS = 18;

    /** Slots of a server that are not reserved for orders. */
    private static final int LOOKUP_SLOTS = 15;

    private static final int MAX_PLACEMENTS = 4;
    private static final long RUN_NANOS = 120 * NANOS_PER_MILLI;
    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final double ORDERS_PER_SECOND = 60;
    private static final double LOOKUPS_PER_SECOND = 220;
    private static final CallRoute ORDERS = route("order", 0);
    private static final CallRoute LOOKUPS = route("lookup", 1);

    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
    private final List<Owner> owners = new ArrayList<>();
    private final List<LoadBalancer> balancers = new ArrayList<>();
    private SplittableRandom random = new SplittableRandom();

    private record Event(long atNanos, Runnable action) {}

    private static CallRoute route(String name, int rankOrder) {
        Route route =
                new Route(
                        name,
                        "h",
                        "/" + name + "/",
                        new TreeSet<>(),
                        "k",
                        true,
                        1_000,
                        1,
                        "p",
                        400,
                        new TreeMap<>());
        return new CallRoute(route, rankOrder, WeightedRoundRobin.of(Map.of("s", 1)));
    }

    /** One call at its entry node. */
    private final class Call implements AdmissibleCall {
        private final CallRoute route;
        private final LoadBalancer balancer;
        private final long arrivedNanos = clock.nanos();
        private final Set<String> tried = new HashSet<>();
        private long endedNanos;
        private boolean refused;

        Call(CallRoute route, LoadBalancer balancer) {
            this.route = route;
            this.balancer = balancer;
        }

        void place() {
            List<EndpointRecord> servers = owners.stream().map(owner -> owner.record).toList();
            EndpointRecord chosen =
                    tried.size() >= MAX_PLACEMENTS
                            ? null
                            : balancer.select(servers, tried, route, targetNanos());
            if (chosen == null) {
                refused = true;
                endedNanos = clock.nanos();
                return;
            }
            tried.add(chosen.serverId());
            balancer.callStarted(chosen);
            owners.get(Integer.parseInt(chosen.serverId())).accept(this);
        }

        void ended(Owner owner, OwnerResult result, long runNanos) {
            balancer.callEnded(owner.record, route, runNanos, result);
            if (result.outcome() == OwnerResult.Outcome.RAN) {
                endedNanos = clock.nanos();
            } else {
                place();
            }
        }

        boolean servedInTarget() {
            return !refused && endedNanos > 0 && endedNanos <= targetNanos();
        }

        @Override
        public int rankOrder() {
            return route.rankOrder();
        }

        @Override
        public String routeName() {
            return route.route().name();
        }

        @Override
        public long routeTargetMillis() {
            return route.targetMillis();
        }

        @Override
        public long targetNanos() {
            return arrivedNanos + route.targetMillis() * NANOS_PER_MILLI;
        }

        @Override
        public long deadlineNanos() {
            return arrivedNanos + route.route().deadlineMillis() * NANOS_PER_MILLI;
        }
    }

    /** The node beside one server. */
    private final class Owner {
        private final EndpointRecord record;
        private final RateLimit limit = new RateLimit(clock);
        private final ServerAdmission<Call> admission = new ServerAdmission<>(clock, limit);
        private final List<Long> startsNanos = new ArrayList<>();

        Owner(int index, double perSecond) {
            record =
                    new EndpointRecord(
                            String.valueOf(index),
                            "s",
                            "n" + index,
                            "a",
                            "10.0.0.1:" + index,
                            1,
                            1,
                            SLOTS,
                            100,
                            EndpointState.READY,
                            0);
            limit.set(perSecond);
        }

        void accept(Call call) {
            ServerAdmission.Offer<Call> offer = admission.offer(call, SLOTS);
            if (offer.verdict() == ServerAdmission.Verdict.START) {
                start(call);
            } else if (offer.entry() == null) {
                refuse(call, offer.verdict());
            } else {
                admission.removeDelayed().forEach(c -> refuse(c, ServerAdmission.Verdict.LIMITED));
                after(admission.limitWaitNanos(), this::dispatch);
            }
        }

        private void refuse(Call call, ServerAdmission.Verdict verdict) {
            String reason = verdict == ServerAdmission.Verdict.LIMITED ? "limited" : "full";
            call.ended(this, OwnerResult.notRun(reason, admission.load(SLOTS)), 0);
        }

        private void dispatch() {
            admission.removeExpired().forEach(c -> refuse(c, ServerAdmission.Verdict.FULL));
            Call next = admission.next(SLOTS);
            while (next != null) {
                start(next);
                next = admission.next(SLOTS);
            }
            if (admission.limitWaitNanos() > 0) {
                after(admission.limitWaitNanos(), this::dispatch);
            }
        }

        private void start(Call call) {
            long expectedNanos = admission.expectedNanos(call);
            long runNanos = (long) (RUN_NANOS * (0.6 + 0.8 * random.nextDouble()));
            admission.started(expectedNanos);
            startsNanos.add(clock.nanos());
            after(
                    runNanos,
                    () -> {
                        admission.ended(expectedNanos);
                        admission.runTimes().completed(call.routeName(), runNanos, 200);
                        call.ended(
                                this,
                                OwnerResult.ran(Answer.of(200), admission.load(SLOTS)),
                                clock.nanos() - call.arrivedNanos);
                        dispatch();
                    });
        }

        int mostStartsIn(Duration span) {
            int most = 0;
            int first = 0;
            for (int last = 0; last < startsNanos.size(); last++) {
                while (startsNanos.get(last) - startsNanos.get(first) > span.toNanos()) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return most;
        }
    }

    private void after(long nanos, Runnable action) {
        events.add(new Event(clock.nanos() + nanos, action));
    }

    private void arrivals(CallRoute route, double perSecond, List<Call> calls) {
        double gapNanos = -Math.log(1 - random.nextDouble()) * 1e9 / perSecond;
        after(
                (long) gapNanos,
                () -> {
                    Call call = new Call(route, balancers.get(random.nextInt(ENTRY_NODES)));
                    calls.add(call);
                    call.place();
                    arrivals(route, perSecond, calls);
                });
    }

    private void play() {
        long endNanos = clock.nanos() + DURATION.toNanos();
        @Nullable Event next = events.poll();
        while (next != null && next.atNanos() < endNanos) {
            clock.advance(Duration.ofNanos(Math.max(0, next.atNanos() - clock.nanos())));
            next.action().run();
            next = events.poll();
        }
    }

    /** The least urgent calls must be refused, at once, and no server must exceed its limit. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void demandAboveTheLimitsIsRefusedAtOnceAndLeastUrgentFirst(long seed) {
        random = new SplittableRandom(seed);
        double[] limits = {26.2, 49.9, RateLimit.NONE};
        for (int i = 0; i < limits.length; i++) {
            owners.add(new Owner(i, limits[i]));
        }
        for (int i = 0; i < ENTRY_NODES; i++) {
            balancers.add(new LoadBalancer(clock, random.split(), "a", server -> false));
        }
        List<Call> orders = new ArrayList<>();
        List<Call> lookups = new ArrayList<>();
        arrivals(ORDERS, ORDERS_PER_SECOND, orders);
        arrivals(LOOKUPS, LOOKUPS_PER_SECOND, lookups);
        play();

        Duration span = Duration.ofSeconds(4);
        for (int i = 0; i < 2; i++) {
            assertThat((double) owners.get(i).mostStartsIn(span))
                    .as("requests of server %d in 4 s", i)
                    .isLessThanOrEqualTo(4.25 * limits[i] + 3);
        }
        assertThat(share(orders)).as("orders in target").isGreaterThan(0.97);
        double capacityPerSecond = 26.2 + 49.9 + LOOKUP_SLOTS * 1e9 / RUN_NANOS;
        double demandPerSecond = ORDERS_PER_SECOND + LOOKUPS_PER_SECOND;
        List<Call> all = new ArrayList<>(orders);
        all.addAll(lookups);
        assertThat(share(all))
                .as("calls in target")
                .isGreaterThan(0.9 * capacityPerSecond / demandPerSecond);
        assertThat(all.stream().filter(call -> call.refused))
                .as("refused calls")
                .allSatisfy(
                        call ->
                                assertThat(call.endedNanos - call.arrivedNanos)
                                        .isLessThan(
                                                call.route.route().deadlineMillis() * 300_000L));
    }

    private double share(List<Call> calls) {
        List<Call> due =
                calls.stream().filter(call -> clock.nanos() > call.deadlineNanos()).toList();
        return (double) due.stream().filter(Call::servedInTarget).count() / due.size();
    }
}
