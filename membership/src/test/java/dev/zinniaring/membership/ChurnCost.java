package dev.zinniaring.membership;

import dev.zinniaring.transport.TrafficCounters.Direction;
import java.util.ArrayList;
import java.util.List;

/**
 * Prints the bytes that the crash and restart of a node cost the others, above the steady state.
 *
 * <pre>{@code
 * ChurnCost NODES ZONES CRASHES
 * }</pre>
 */
final class ChurnCost {
    private static final long SETTLE_MILLIS = 20_000;

    private ChurnCost() {}

    public static void main(String[] arguments) throws Exception {
        int nodes = Integer.parseInt(arguments[0]);
        int crashes = Integer.parseInt(arguments[2]);
        try (LoopbackMesh mesh = new LoopbackMesh(2)) {
            List<LoopbackMesh.Node> running =
                    new ArrayList<>(mesh.start(nodes, Integer.parseInt(arguments[1])));
            mesh.awaitAll(running, nodes);
            Thread.sleep(SETTLE_MILLIS);
            List<LoopbackMesh.Node> lasting = running.subList(crashes, nodes);
            long idle = -sent(lasting);
            Thread.sleep(SETTLE_MILLIS);
            idle += sent(lasting);
            long churn = -sent(lasting);
            long start = System.nanoTime();
            boolean known = true;
            for (int i = 0; i < crashes; i++) {
                running.get(i).kill();
                known &= mesh.awaitAll(lasting, nodes - 1);
                mesh.restart(running.get(i));
                known &= mesh.awaitAll(lasting, nodes);
            }
            Thread.sleep(SETTLE_MILLIS);
            churn += sent(lasting);
            double millis = (System.nanoTime() - start) / 1e6;
            double above = churn - idle * millis / SETTLE_MILLIS;
            System.out.printf(
                    "nodes %d crashes %d all detected %s bytes sent per crash with restart and per"
                            + " node %.0f, mean seconds for both %.1f%n",
                    nodes,
                    crashes,
                    known,
                    above / crashes / lasting.size(),
                    (millis - SETTLE_MILLIS) / 1e3 / crashes);
        }
    }

    private static long sent(List<LoopbackMesh.Node> nodes) {
        return nodes.stream()
                .map(node -> node.network().counters().snapshot())
                .mapToLong(
                        now ->
                                now.total(Direction.SENT, false).bytes()
                                        + now.total(Direction.SENT, true).bytes())
                .sum();
    }
}
