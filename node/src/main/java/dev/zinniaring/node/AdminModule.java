package dev.zinniaring.node;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dev.zinniaring.distribution.VersionDistribution;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.Network;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Singleton;

/** Provides the admin API and the directory of admin addresses. */
@Module
final class AdminModule {
    private AdminModule() {}

    @Provides
    @Singleton
    static AdminDirectory directory(
            NodeDependencies dependencies, Membership membership, Network network) {
        return new AdminDirectory(
                dependencies.settings().nodeId(), membership, network, dependencies.clock());
    }

    @Provides
    @Singleton
    static AdminPlugin admin(
            NodeDependencies dependencies,
            VersionDistribution versions,
            Membership membership,
            AdminDirectory directory,
            PrometheusRegistry registry) {
        return new AdminPlugin(dependencies.settings(), versions, membership, directory, registry);
    }

    @Provides
    @IntoSet
    static Plugin plugin(AdminPlugin admin) {
        return admin;
    }
}
