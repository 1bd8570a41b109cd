package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.Network;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Sets what every distribution needs.
 *
 * @param <B> type of the builder
 */
abstract class DistributionBuilder<B extends DistributionBuilder<B>> {
    private @Nullable Network network;
    private @Nullable Membership membership;
    private Clock clock = Clock.system();
    private @Nullable Scheduler scheduler;
    private @Nullable RandomGenerator random;
    private Timings timings = Timings.standard();

    abstract B self();

    /** Sets the network, whose messages are registered by {@code build()}. */
    public B network(Network value) {
        network = value;
        return self();
    }

    /** Sets where live peers, gateways and the reader come from. */
    public B membership(Membership value) {
        membership = value;
        return self();
    }

    /** Sets the clock, by default the VM's. */
    public B clock(Clock value) {
        clock = value;
        return self();
    }

    /** Sets what runs timers and handlers. */
    public B scheduler(Scheduler value) {
        scheduler = value;
        return self();
    }

    /** Sets the source of jitter and random choices. */
    public B random(RandomGenerator value) {
        random = value;
        return self();
    }

    /** Sets how often the node does what. */
    public B timings(Timings value) {
        timings = value;
        return self();
    }

    Context context() {
        Scheduler timers = Objects.requireNonNull(scheduler, "scheduler");
        return new Context(
                Objects.requireNonNull(network, "network"),
                Objects.requireNonNull(membership, "membership"),
                clock,
                timers,
                random == null ? new java.util.Random() : random,
                timings,
                new Mailbox(timers));
    }
}
