package dev.zinniaring.node;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.distribution.Versions;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.Network;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Singleton;

/** Provides the call path, from the listeners to the backend servers. */
@Module
final class CallsModule {
    private CallsModule() {}

    @Provides
    @Singleton
    static CrashGuard guard(NodeDependencies dependencies) {
        return CrashGuard.builder()
                .clock(dependencies.clock())
                .nodeId(dependencies.settings().nodeId())
                .build();
    }

    @Provides
    @Singleton
    static SuspectPropagator suspects(CrashGuard guard, Membership membership, Network network) {
        return new SuspectPropagator(guard, membership, network);
    }

    @Provides
    @Singleton
    static LocalServers servers(
            NodeDependencies dependencies, Endpoints endpoints, CrashGuard guard) {
        return new LocalServers(endpoints, dependencies.admissions(), guard, dependencies.clock());
    }

    @Provides
    @Singleton
    static CallsPlugin calls(
            NodeDependencies dependencies,
            Versions versions,
            Endpoints endpoints,
            LocalServers servers,
            SuspectPropagator suspects,
            Scheduler scheduler,
            PrometheusRegistry registry) {
        return new CallsPlugin(
                new CallsDependencies(
                        dependencies.settings(),
                        dependencies.ports(),
                        versions,
                        endpoints,
                        servers,
                        suspects.guard(),
                        suspects::sendChanges,
                        dependencies.retryPolicy(),
                        scheduler,
                        registry,
                        dependencies.clock()));
    }

    @Provides
    @IntoSet
    static Plugin plugin(CallsPlugin calls) {
        return calls;
    }
}
