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

/** Builds a {@link GossipMembership}. */
public final class GossipMembershipBuilder {
    private @Nullable Network network;
    private @Nullable Scheduler scheduler;
    private Clock clock = Clock.system();
    private RandomGenerator random = RandomGenerator.getDefault();
    private GossipTimings timings = GossipTimings.defaults();
    private List<InetSocketAddress> seeds = List.of();

    GossipMembershipBuilder() {}

    /**
     * Sets the network. Required. It also provides this node's id, availability zone and
     * incarnation.
     */
    public GossipMembershipBuilder network(Network newNetwork) {
        network = newNetwork;
        return this;
    }

    /** Sets the scheduler that runs the timers and calls the listeners. Required. */
    public GossipMembershipBuilder scheduler(Scheduler newScheduler) {
        scheduler = newScheduler;
        return this;
    }

    /** Sets the clock; default: the system clock. */
    public GossipMembershipBuilder clock(Clock newClock) {
        clock = newClock;
        return this;
    }

    /** Sets the random generator, which is used by one thread at a time. */
    public GossipMembershipBuilder random(RandomGenerator newRandom) {
        random = newRandom;
        return this;
    }

    /** Sets the periods and timeouts; default: {@link GossipTimings#defaults()}. */
    public GossipMembershipBuilder timings(GossipTimings newTimings) {
        timings = newTimings;
        return this;
    }

    /** Sets the control addresses of the seeds, which may include this node's own address. */
    public GossipMembershipBuilder seeds(Collection<InetSocketAddress> addresses) {
        seeds = List.copyOf(addresses);
        return this;
    }

    /**
     * Builds the membership without starting it, and registers its message handlers with the
     * network, which must not have been started yet.
     *
     * @throws IllegalArgumentException if the network or the scheduler has not been set
     */
    public GossipMembership build() {
        if (network == null || scheduler == null) {
            throw new IllegalArgumentException("network and scheduler must be set");
        }
        return new GossipMembership(
                network, clock, scheduler, random, timings, new ArrayList<>(seeds));
    }
}
