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
    static AdminDirectory directory(NodeParts parts, Membership membership, Network network) {
        return new AdminDirectory(parts.settings().nodeId(), membership, network, parts.clock());
    }

    @Provides
    @Singleton
    static AdminPlugin admin(
            NodeParts parts,
            VersionDistribution versions,
            Membership membership,
            AdminDirectory directory,
            PrometheusRegistry registry) {
        return new AdminPlugin(parts.settings(), versions, membership, directory, registry);
    }

    @Provides
    @IntoSet
    static Plugin plugin(AdminPlugin admin) {
        return admin;
    }
}
