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
    static CrashGuard guard(NodeParts parts) {
        return CrashGuard.builder().clock(parts.clock()).nodeId(parts.settings().nodeId()).build();
    }

    @Provides
    @Singleton
    static SuspectSpread suspects(CrashGuard guard, Membership membership, Network network) {
        return new SuspectSpread(guard, membership, network);
    }

    @Provides
    @Singleton
    static LocalServers servers(NodeParts parts, Endpoints endpoints, CrashGuard guard) {
        return new LocalServers(endpoints, parts.admissions(), guard, parts.clock());
    }

    @Provides
    @Singleton
    static CallsPlugin calls(
            NodeParts parts,
            Versions versions,
            Endpoints endpoints,
            LocalServers servers,
            SuspectSpread suspects,
            Scheduler scheduler,
            PrometheusRegistry registry) {
        return new CallsPlugin(
                new CallsParts(
                        parts.settings(),
                        parts.ports(),
                        versions,
                        endpoints,
                        servers,
                        suspects.guard(),
                        suspects::tick,
                        parts.retryPolicy(),
                        scheduler,
                        registry,
                        parts.clock()));
    }

    @Provides
    @IntoSet
    static Plugin plugin(CallsPlugin calls) {
        return calls;
    }
}
