package dev.zinniaring.bench;

import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import dev.zinniaring.node.Node;
import dev.zinniaring.standins.LoadResult;
import dev.zinniaring.standins.LoadStream;
import dev.zinniaring.standins.ServiceTime;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.TreeSet;

/**
 * Balances calls over a pool of fast, slow, cold and lying servers. A lying server fails every call
 * immediately while it reports good health and low load. The baselines choose round-robin and at
 * random.
 */
final class BalanceExperiment implements Experiment {
    private static final List<String> KINDS =
            List.of("fast", "fast", "fast", "slow", "slow", "lying", "lying", "cold");
    private static final int SLOTS = 6;
    private static final int CONNECTIONS = 130;
    private static final long FAST_MICROS = 10_000;
    private static final long SLOW_MICROS = 3 * FAST_MICROS;
    private static final long LYING_MICROS = 500;
    private static final int WARM_UP_MILLIS = 10_000;
    private static final int DISCARD_PORT = 9;
    private static final double CALLS_PER_SECOND = 300;
    private static final Duration WARM_UP_LOAD = Duration.ofSeconds(1);
    private static final Duration WINDOW = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "balance";
    }

    @Override
    public String summary() {
        return "latency and share of calls to bad servers in a pool of mixed servers";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        Figures leastLoaded = measure(BalancePolicy.LEAST_LOADED, seed);
        Figures roundRobin = measure(BalancePolicy.ROUND_ROBIN, seed);
        Figures random = measure(BalancePolicy.RANDOM, seed);
        return Report.of(leastLoaded, roundRobin.and("random", random))
                .note("the baseline chooses round-robin; latencies are of successful calls");
    }

    private static Figures measure(BalancePolicy policy, long seed) throws ExperimentException {
        try (CallMesh mesh = CallMesh.seeded(seed)) {
            Node entry = mesh.addNode("entry", "a");
            for (int i = 0; i < KINDS.size(); i++) {
                addServer(mesh, i);
            }
            mesh.awaitReady(mesh.publish(tables(policy)));
            InetSocketAddress target = CallMesh.reachable(entry.callAddress());
            load(target, WARM_UP_LOAD, seed);
            long[] before = runs(mesh);
            LoadResult.Stream calls = load(target, WINDOW, seed + 1);
            return figures(calls, before, runs(mesh));
        }
    }

    private static void addServer(CallMesh mesh, int number) throws ExperimentException {
        String kind = KINDS.get(number);
        Node node = mesh.addNode("node-" + number, "a");
        InetSocketAddress closedPort =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), DISCARD_PORT);
        mesh.addServer(
                node,
                kind + "-" + number,
                "mixed",
                server -> {
                    server.slots(SLOTS)
                            .connections(CONNECTIONS)
                            .warmUpMillis(kind.equals("cold") ? WARM_UP_MILLIS : 0)
                            .serviceTime(ServiceTime.fixed(micros(kind)));
                    // The server answers 502 because its outgoing call finds no listener.
                    return kind.equals("lying") ? server.next(closedPort, "/") : server;
                });
    }

    private static long micros(String kind) {
        return switch (kind) {
            case "slow" -> SLOW_MICROS;
            case "lying" -> LYING_MICROS;
            default -> FAST_MICROS;
        };
    }

    private static Tables tables(BalancePolicy policy) {
        Route route =
                new Route(
                        "mixed",
                        "*",
                        "/mixed",
                        new TreeSet<>(List.of("GET")),
                        "normal",
                        true,
                        2_000,
                        1,
                        "mixed");
        Pool pool = new Pool("mixed", "mixed", policy, 100, 1_000, 10);
        return Tables.of(List.of(new Rank("normal", 0, 1, 0)), List.of(route), List.of(pool));
    }

    private static LoadResult.Stream load(InetSocketAddress target, Duration length, long seed)
            throws ExperimentException {
        return Loads.run(
                List.of(target),
                List.of(LoadStream.getting("calls", "/mixed", CALLS_PER_SECOND)),
                length,
                seed)
                .stream("calls");
    }

    private static long[] runs(CallMesh mesh) {
        return mesh.servers().stream().mapToLong(server -> server.runs().total()).toArray();
    }

    private static Figures figures(LoadResult.Stream calls, long[] before, long[] after) {
        return Figures.of("p50_ms", calls.percentileMillis(50))
                .and("p99_ms", calls.percentileMillis(99))
                .and("failed_share", 1 - (double) calls.ok() / calls.sent())
                .and("lying_share", share("lying", before, after))
                .and("slow_share", share("slow", before, after))
                .and("cold_share", share("cold", before, after));
    }

    private static double share(String kind, long[] before, long[] after) {
        double all = 0;
        double ofKind = 0;
        for (int i = 0; i < before.length; i++) {
            long runs = after[i] - before[i];
            all += runs;
            ofKind += KINDS.get(i).equals(kind) ? runs : 0;
        }
        return ofKind / all;
    }
}
