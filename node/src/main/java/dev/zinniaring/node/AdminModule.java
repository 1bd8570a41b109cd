package dev.zinniaring.node;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dev.zinniaring.distribution.VersionDistribution;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.membership.Membership;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Singleton;

/** Provides the admin server. */
@Module
final class AdminModule {
    private AdminModule() {}

    @Provides
    @Singleton
    static AdminPlugin admin(
            NodeParts parts,
            VersionDistribution versions,
            Membership membership,
            PrometheusRegistry registry) {
        return new AdminPlugin(parts.settings(), versions, membership, registry);
    }

    @Provides
    @IntoSet
    static Plugin plugin(AdminPlugin admin) {
        return admin;
    }
}
