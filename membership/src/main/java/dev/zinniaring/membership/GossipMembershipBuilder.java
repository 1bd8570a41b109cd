package dev.zinniaring.membership;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.transport.Network;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Collects what a {@link GossipMembership} needs. */
public final class GossipMembershipBuilder {
    private @Nullable Network network;
    private @Nullable Scheduler scheduler;
    private Clock clock = Clock.system();
    private RandomGenerator random = RandomGenerator.getDefault();
    private GossipTimings timings = GossipTimings.defaults();
    private List<InetSocketAddress> seeds = List.of();

    GossipMembershipBuilder() {}

    /** Sets the network, required; it names this node, its availability zone and incarnation. */
    public GossipMembershipBuilder network(Network newNetwork) {
        network = newNetwork;
        return this;
    }

    /** Sets what runs the timers and calls the listeners, required. */
    public GossipMembershipBuilder scheduler(Scheduler newScheduler) {
        scheduler = newScheduler;
        return this;
    }

    /** Sets the clock; the VM's clock if not called. */
    public GossipMembershipBuilder clock(Clock newClock) {
        clock = newClock;
        return this;
    }

    /** Sets the source of random choices, used by one thread at a time. */
    public GossipMembershipBuilder random(RandomGenerator newRandom) {
        random = newRandom;
        return this;
    }

    /** Sets the periods and timeouts; {@link GossipTimings#defaults()} if not called. */
    public GossipMembershipBuilder timings(GossipTimings newTimings) {
        timings = newTimings;
        return this;
    }

    /** Sets the control addresses of the seeds. This node's own address may be among them. */
    public GossipMembershipBuilder seeds(Collection<InetSocketAddress> addresses) {
        seeds = List.copyOf(addresses);
        return this;
    }

    /**
     * Returns the membership, not started, and registers its messages with the network, which must
     * not have been started.
     *
     * @throws IllegalArgumentException if the network or the scheduler is missing
     */
    public GossipMembership build() {
        if (network == null || scheduler == null) {
            throw new IllegalArgumentException("network and scheduler must be set");
        }
        return new GossipMembership(
                network, clock, scheduler, random, timings, new ArrayList<>(seeds));
    }
}
