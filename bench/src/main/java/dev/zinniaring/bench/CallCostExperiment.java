package dev.zinniaring.bench;

import com.sun.management.OperatingSystemMXBean;
import dev.zinniaring.node.Node;
import dev.zinniaring.standins.BackendServer;
import dev.zinniaring.standins.LoadStream;
import dev.zinniaring.standins.ServiceTime;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * Measures the CPU time that two nodes spend on a call: the slope of CPU time over calls at two
 * call rates, minus the slope for calls sent directly to the backend server, which contains the
 * cost of the same callers and servers. The baseline path has one node.
 */
final class CallCostExperiment implements Experiment {
    private static final double LOW_RATE = 200;
    private static final double HIGH_RATE = 800;
    private static final int SLOTS = 64;
    private static final int CONNECTIONS = 1_000;
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final OperatingSystemMXBean SYSTEM =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

    @Override
    public String name() {
        return "call-cost";
    }

    @Override
    public String summary() {
        return "CPU time that nodes spend on a call";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        try (CallMesh mesh = CallMesh.seeded(seed)) {
            Node entry = mesh.addNode("entry", "a");
            Node owner = mesh.addNode("owner", "a");
            BackendServer server =
                    mesh.addServer(
                            owner,
                            "far-1",
                            "far",
                            builder ->
                                    builder.slots(SLOTS)
                                            .connections(CONNECTIONS)
                                            .serviceTime(ServiceTime.fixed(1_000)));
            mesh.awaitReady(mesh.publish(SampleTables.of(List.of("far"), 0)));
            double direct = microsPerCall(server.address(), seed);
            double twoNodes = microsPerCall(CallMesh.reachable(entry.callAddress()), seed);
            double oneNode = microsPerCall(CallMesh.reachable(owner.callAddress()), seed);
            return Report.of(figures(twoNodes, direct), figures(oneNode, direct))
                    .note("the baseline calls the owner's node directly: one node in the path");
        }
    }

    private static Figures figures(double path, double direct) {
        return Figures.of("added_cpu_micros_per_call", path - direct)
                .and("path_cpu_micros_per_call", path)
                .and("direct_cpu_micros_per_call", direct);
    }

    private static double microsPerCall(InetSocketAddress target, long seed)
            throws ExperimentException {
        load(target, HIGH_RATE, WARM_UP, seed);
        Sample low = load(target, LOW_RATE, WINDOW, seed + 1);
        Sample high = load(target, HIGH_RATE, WINDOW, seed + 2);
        return 1e6 * (high.cpuSeconds - low.cpuSeconds) / (high.calls - low.calls);
    }

    /** CPU time of the whole process and number of successful calls during a load. */
    private record Sample(double cpuSeconds, double calls) {}

    private static Sample load(
            InetSocketAddress target, double callsPerSecond, Duration length, long seed)
            throws ExperimentException {
        long startCpuNanos = SYSTEM.getProcessCpuTime();
        long ok =
                Loads.run(
                                List.of(target),
                                List.of(LoadStream.getting("calls", "/far/0", callsPerSecond)),
                                length,
                                seed)
                        .stream("calls")
                        .ok();
        return new Sample((SYSTEM.getProcessCpuTime() - startCpuNanos) * 1e-9, ok);
    }
}
