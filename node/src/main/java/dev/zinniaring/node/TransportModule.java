package dev.zinniaring.node;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.transport.Network;
import dev.zinniaring.transport.TcpNetwork;
import dev.zinniaring.transport.TransportException;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Singleton;
import java.util.Random;

/** Provides the network for control messages. */
@Module
final class TransportModule {
    private TransportModule() {}

    @Provides
    @Singleton
    static TcpNetwork tcpNetwork(
            NodeDependencies dependencies, Scheduler scheduler, PrometheusRegistry registry) {
        NodeSettings settings = dependencies.settings();
        TcpNetwork network =
                TcpNetwork.builder()
                        .mesh(settings.mesh())
                        .nodeId(settings.nodeId())
                        .zone(settings.zone())
                        .incarnation(dependencies.clock().now().toEpochMilli())
                        .bind(dependencies.ports().control())
                        .clock(dependencies.clock())
                        .scheduler(scheduler)
                        .random(new Random(dependencies.random().nextLong()))
                        .conditions(dependencies.conditions())
                        .limits(dependencies.transportLimits())
                        .build();
        network.counters().register(registry);
        return network;
    }

    @Provides
    static Network network(TcpNetwork network) {
        return network;
    }

    @Provides
    @IntoSet
    static Plugin plugin(TcpNetwork network) {
        return CallbackPlugin.named("transport", 20)
                .onStart(() -> start(network))
                .onStop(network::close)
                .state(network::state)
                .build();
    }

    private static void start(TcpNetwork network) throws KernelException {
        try {
            network.start();
        } catch (TransportException e) {
            throw new KernelException("the control network failed to start: " + e.getMessage(), e);
        }
    }
}
