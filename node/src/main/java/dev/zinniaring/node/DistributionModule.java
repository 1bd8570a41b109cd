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
            NodeParts parts,
            Network network,
            Membership membership,
            VersionSource source,
            Scheduler scheduler,
            ExecutorService platformExecutor) {
        return VersionDistribution.builder()
                .network(network)
                .membership(membership)
                .source(source)
                .seeds(parts.seeds())
                .ownSeed(parts.seeds().contains(parts.ports().control()))
                .clock(parts.clock())
                .scheduler(scheduler)
                .platformExecutor(platformExecutor)
                .random(new Random(parts.random().nextLong()))
                .timings(parts.timings())
                .build();
    }

    @Provides
    @Singleton
    static EndpointDistribution endpointDistribution(
            NodeParts parts, Network network, Membership membership, Scheduler scheduler) {
        return EndpointDistribution.builder()
                .network(network)
                .membership(membership)
                .clock(parts.clock())
                .scheduler(scheduler)
                .random(new Random(parts.random().nextLong()))
                .callAddress(HopRequests.text(parts.ports().peerCallAddress()))
                .timings(parts.timings())
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
        return PartPlugin.named("distribution", 40)
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
