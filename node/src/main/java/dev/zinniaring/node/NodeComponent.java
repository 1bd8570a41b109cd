package dev.zinniaring.node;

import dagger.BindsInstance;
import dagger.Component;
import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.distribution.Versions;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.TcpNetwork;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Singleton;
import java.util.Set;

/** Dagger component that wires one node. */
@Singleton
@Component(
        modules = {
            CommonModule.class,
            PlatformModule.class,
            TransportModule.class,
            MembershipModule.class,
            DistributionModule.class,
            CallsModule.class,
            AnnouncementsModule.class,
            AdminModule.class
        })
interface NodeComponent {
    Set<Plugin> plugins();

    AdminPlugin admin();

    AnnouncementsPlugin announcements();

    Versions versions();

    Endpoints endpoints();

    Membership membership();

    TcpNetwork network();

    PrometheusRegistry registry();

    /** Creates the component of a node. */
    @Component.Factory
    interface Factory {
        NodeComponent create(@BindsInstance NodeDependencies dependencies);
    }
}
