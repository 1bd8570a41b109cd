package dev.zinniaring.membership;

import com.sun.management.OperatingSystemMXBean;
import dev.zinniaring.transport.TrafficCounters;
import dev.zinniaring.transport.TrafficCounters.Direction;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Prints the CPU and network cost of a node while membership does not change.
 *
 * <pre>{@code
 * SteadyStateCost NODES ZONES WARM_UP_SECONDS SECONDS
 * }</pre>
 */
final class SteadyStateCost {
    private SteadyStateCost() {}

    public static void main(String[] arguments) throws Exception {
        int nodes = Integer.parseInt(arguments[0]);
        int zones = Integer.parseInt(arguments[1]);
        long warmUpMillis = 1_000L * Integer.parseInt(arguments[2]);
        long millis = 1_000L * Integer.parseInt(arguments[3]);
        try (LoopbackMesh mesh = new LoopbackMesh(2)) {
            List<LoopbackMesh.Node> started = mesh.start(nodes, zones);
            boolean settled = mesh.awaitAll(started, nodes);
            Thread.sleep(warmUpMillis);
            Map<String, Double> before = totals(started);
            Thread.sleep(millis);
            Map<String, Double> after = totals(started);
            double seconds = (after.get("nanos") - before.get("nanos")) / 1e9;
            System.out.printf("nodes %d zones %d settled %s%n", nodes, zones, settled);
            int links = started.stream().mapToInt(n -> n.network().state().links().size()).sum();
            System.out.printf("  links at the end %.1f per node%n", links / (double) nodes);
            after.forEach(
                    (name, total) -> {
                        double each = (total - before.getOrDefault(name, 0.0)) / nodes / seconds;
                        if (each > 0.005 && !name.equals("nanos")) {
                            System.out.printf("  %-28s %10.3f per second and node%n", name, each);
                        }
                    });
        }
    }

    private static Map<String, Double> totals(List<LoopbackMesh.Node> nodes) {
        Map<String, Double> totals = new TreeMap<>();
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        totals.put("nanos", (double) System.nanoTime());
        totals.put("cpu ms", system.getProcessCpuTime() / 1e6);
        for (LoopbackMesh.Node node : nodes) {
            TrafficCounters.Snapshot now = node.network().counters().snapshot();
            add(totals, "bytes sent same zone", now.total(Direction.SENT, false).bytes());
            add(totals, "bytes sent cross zone", now.total(Direction.SENT, true).bytes());
            now.flows()
                    .forEach(
                            (flow, total) -> {
                                if (flow.direction() == Direction.SENT) {
                                    add(totals, flow.messageType() + " sent", total.messages());
                                }
                            });
            add(totals, "refutations", node.membership().state().refutations());
            now.faults().forEach((fault, count) -> add(totals, "fault " + fault, count));
        }
        return totals;
    }

    private static void add(Map<String, Double> totals, String name, long amount) {
        totals.merge(name, (double) amount, Double::sum);
    }
}
