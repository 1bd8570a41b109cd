package dev.zinniaring.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Prints the simulated time until all nodes of all zones have detected a crash.
 *
 * <pre>{@code
 * DetectionTimes ZONES NODES_PER_ZONE SEEDS
 * }</pre>
 */
final class DetectionTimes {
    private DetectionTimes() {}

    public static void main(String[] arguments) {
        int zones = Integer.parseInt(arguments[0]);
        int nodes = Integer.parseInt(arguments[1]);
        int seeds = Integer.parseInt(arguments[2]);
        List<Long> millis = new ArrayList<>();
        for (long seed = 1; seed <= seeds; seed++) {
            millis.add(millisUntilKnown(zones, nodes, seed));
        }
        millis.sort(null);
        System.out.printf(
                "zones %d nodes per zone %d runs %d median_ms %d p95_ms %d max_ms %d%n",
                zones,
                nodes,
                seeds,
                millis.get(seeds / 2),
                millis.get(seeds * 95 / 100),
                millis.get(seeds - 1));
    }

    static long millisUntilKnown(int zones, int nodes, long seed) {
        SimMesh mesh = new SimMesh(seed);
        mesh.start(zones, nodes);
        mesh.run(Duration.ofSeconds(20));
        mesh.crash("n4", false);
        long start = mesh.clock.nanos();
        while (mesh.running().stream().anyMatch(DetectionTimes::seesCrashedNode)) {
            mesh.run(Duration.ofMillis(100));
        }
        return Duration.ofNanos(mesh.clock.nanos() - start).toMillis();
    }

    private static boolean seesCrashedNode(SimNode viewer) {
        return viewer.membership.view().member("n4").filter(Member::isLive).isPresent();
    }
}
