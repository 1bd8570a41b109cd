package dev.zinniaring.bench;

import dev.zinniaring.node.Node;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.LoadResult;
import dev.zinniaring.standins.LoadStream;
import dev.zinniaring.standins.ServiceTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Replaces every backend server together with its node, one pair at a time, under a steady load
 * that enters at nodes that keep running. The baseline kills each pair instead of draining it.
 */
final class RollingRestartExperiment implements Experiment {
    private static final List<String> ZONES = List.of("a", "b");
    private static final List<String> SERVICES = List.of("shelf", "order");
    private static final int SERVERS_PER_SERVICE = 3;
    private static final int SLOTS = 18;
    private static final int CONNECTIONS = 120;
    private static final long SERVICE_MICROS = 10_000;
    private static final double CALLS_PER_SECOND = 40;
    private static final Duration DRAIN_WINDOW = Duration.ofSeconds(26);
    private static final Duration KILL_WINDOW = Duration.ofSeconds(11);
    private static final Duration STEP_LIMIT = Duration.ofSeconds(5);
    private static final Duration KILL_PAUSE = Duration.ofMillis(500);

    @Override
    public String name() {
        return "rolling-restart";
    }

    @Override
    public String summary() {
        return "all servers and their nodes are replaced one at a time under load";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        return Report.of(measure(seed, true), measure(seed + 1, false))
                .note(
                        "calls_cut counts calls with outcome unknown, broken off or not answered;"
                                + " the baseline kills each server and its node without draining");
    }

    private record Pair(Node node, BackendServer server, String service) {}

    private static Figures measure(long seed, boolean graceful) throws ExperimentException {
        try (CallMesh mesh = CallMesh.seeded(seed)) {
            List<Node> entries = new ArrayList<>();
            for (String zone : ZONES) {
                entries.add(mesh.addNode("entry-" + zone, zone));
            }
            List<Pair> pairs = startPairs(mesh);
            mesh.awaitReady(mesh.publish(SampleTables.of(SERVICES, 0)));
            Duration window = graceful ? DRAIN_WINDOW : KILL_WINDOW;
            BackgroundLoad once = load(entries, "once", 1, window, seed);
            BackgroundLoad again = load(entries, "again", 0, window, seed + 1);
            List<BackendServer> all = new ArrayList<>(mesh.servers());
            long latestArrivalMillis = 0;
            int replaced = 0;
            for (Pair pair : pairs) {
                all.add(replace(mesh, pair, graceful));
                latestArrivalMillis =
                        Math.max(
                                latestArrivalMillis,
                                pair.server().runs().lastArrivalAfterDrainMillis());
                replaced += once.isFinished() || again.isFinished() ? 0 : 1;
            }
            return figures(once.result(), again.result(), all)
                    .and("new_work_after_drain_ms", latestArrivalMillis)
                    .and("replaced_under_load", replaced);
        }
    }

    private static List<Pair> startPairs(CallMesh mesh) throws ExperimentException {
        List<Pair> pairs = new ArrayList<>();
        for (String service : SERVICES) {
            for (int i = 0; i < SERVERS_PER_SERVICE; i++) {
                String zone = ZONES.get(pairs.size() % ZONES.size());
                Node node = mesh.addNode("node-" + service + "-" + i, zone);
                pairs.add(new Pair(node, server(mesh, node, service + "-" + i, service), service));
            }
        }
        return pairs;
    }

    private static BackendServer server(CallMesh mesh, Node node, String id, String service) {
        return mesh.addServer(
                node,
                id,
                service,
                builder ->
                        builder.slots(SLOTS)
                                .connections(CONNECTIONS)
                                .serviceTime(ServiceTime.exponential(SERVICE_MICROS)));
    }

    private static BackgroundLoad load(
            List<Node> entries, String prefix, int route, Duration window, long seed) {
        List<LoadStream> streams =
                SERVICES.stream()
                        .map(name -> "/" + name + "/" + route)
                        .map(path -> LoadStream.posting(path, path, CALLS_PER_SECOND))
                        .toList();
        return BackgroundLoad.start(entries, streams, window, prefix, seed);
    }

    /** Stops a server and its node and starts new instances of both with the same ids. */
    private static BackendServer replace(CallMesh mesh, Pair pair, boolean graceful)
            throws ExperimentException {
        if (graceful) {
            mesh.drainAndStop(pair.node(), pair.server(), STEP_LIMIT);
        } else {
            mesh.kill(pair.node(), pair.server());
            Await.pause(KILL_PAUSE);
        }
        Node node = mesh.addNode(pair.node().settings().nodeId(), pair.node().settings().zone());
        BackendServer server = server(mesh, node, pair.server().serverId(), pair.service());
        mesh.awaitReady(1);
        return server;
    }

    private static Map<String, Integer> runs(List<BackendServer> servers) {
        Map<String, Integer> runs = new HashMap<>();
        for (BackendServer server : servers) {
            server.runs().byCallId().forEach((id, count) -> runs.merge(id, count, Integer::sum));
        }
        return runs;
    }

    private static Figures figures(LoadResult once, LoadResult again, List<BackendServer> servers) {
        Map<String, Integer> runs = runs(servers);
        Map<String, String> outcomes = new HashMap<>(once.outcomes());
        outcomes.putAll(again.outcomes());
        long sent = once.sent() + again.sent();
        long answered = outcomes.values().stream().filter(RollingRestartExperiment::known).count();
        long twice =
                runs.entrySet().stream()
                        .filter(run -> run.getKey().startsWith("once-") && run.getValue() > 1)
                        .count();
        long refused = outcomes.values().stream().filter("not-run"::equals).count();
        long refusedButRan =
                outcomes.entrySet().stream()
                        .filter(call -> call.getValue().equals("not-run"))
                        .filter(call -> runs.containsKey(call.getKey()))
                        .count();
        return Figures.of("calls_cut", sent - answered)
                .and("run_twice", twice)
                .and("not_run_but_ran", refusedButRan)
                .and("calls", sent)
                .and("refused_not_run", refused);
    }

    /** Returns whether the caller learned for certain if its call was executed. */
    private static boolean known(String outcome) {
        return outcome.equals("ran") || outcome.equals("not-run");
    }
}
