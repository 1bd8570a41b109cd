package dev.zinniaring.node;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dev.zinniaring.distribution.EndpointDistribution;
import dev.zinniaring.distribution.EndpointStatus;
import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.distribution.VersionDistribution;
import dev.zinniaring.distribution.VersionStatus;
import dev.zinniaring.distribution.Versions;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.publish.VersionSource;
import dev.zinniaring.transport.Network;
import jakarta.inject.Singleton;
import java.util.Random;
import java.util.concurrent.ExecutorService;

/** Provides the distribution of configuration versions and endpoint records. */
@Module
final class DistributionModule {
    private DistributionModule() {}

    @Provides
    @Singleton
    static VersionDistribution versionDistribution(
            NodeDependencies dependencies,
            Network network,
            Membership membership,
            VersionSource source,
            Scheduler scheduler,
            ExecutorService platformExecutor) {
        return VersionDistribution.builder()
                .network(network)
                .membership(membership)
                .source(source)
                .seeds(dependencies.seeds())
                .ownSeed(dependencies.seeds().contains(dependencies.ports().control()))
                .clock(dependencies.clock())
                .scheduler(scheduler)
                .platformExecutor(platformExecutor)
                .random(new Random(dependencies.random().nextLong()))
                .timings(dependencies.timings())
                .build();
    }

    @Provides
    @Singleton
    static EndpointDistribution endpointDistribution(
            NodeDependencies dependencies,
            Network network,
            Membership membership,
            Scheduler scheduler) {
        return EndpointDistribution.builder()
                .network(network)
                .membership(membership)
                .clock(dependencies.clock())
                .scheduler(scheduler)
                .random(new Random(dependencies.random().nextLong()))
                .callAddress(HopRequests.text(dependencies.ports().peerCallAddress()))
                .timings(dependencies.timings())
                .build();
    }

    @Provides
    static Versions versions(VersionDistribution versions) {
        return versions;
    }

    @Provides
    static Endpoints endpoints(EndpointDistribution endpoints) {
        return endpoints;
    }

    @Provides
    @IntoSet
    static Plugin plugin(VersionDistribution versions, EndpointDistribution endpoints) {
        return CallbackPlugin.named("distribution", 40)
                .onStart(
                        () -> {
                            versions.start();
                            endpoints.start();
                        })
                .onStop(
                        () -> {
                            endpoints.stop();
                            versions.stop();
                        })
                .state(() -> new State(versions.state(), endpoints.state()))
                .build();
    }

    private record State(VersionStatus versions, EndpointStatus endpoints) {}
}
