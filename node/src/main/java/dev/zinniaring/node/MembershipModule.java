package dev.zinniaring.node;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.membership.GossipMembership;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.Network;
import jakarta.inject.Singleton;
import java.util.Random;

/** Provides the membership of the mesh. */
@Module
final class MembershipModule {
    private MembershipModule() {}

    @Provides
    @Singleton
    static GossipMembership gossipMembership(
            NodeDependencies dependencies, Network network, Scheduler scheduler) {
        return GossipMembership.builder()
                .network(network)
                .scheduler(scheduler)
                .clock(dependencies.clock())
                .random(new Random(dependencies.random().nextLong()))
                .timings(dependencies.gossipTimings())
                .seeds(dependencies.seeds())
                .build();
    }

    @Provides
    static Membership membership(GossipMembership membership) {
        return membership;
    }

    @Provides
    @IntoSet
    static Plugin plugin(GossipMembership membership) {
        return CallbackPlugin.named("membership", 30)
                .onStart(membership::start)
                .onDrain(membership::leave)
                .onStop(membership::stop)
                .state(membership::state)
                .build();
    }
}
