package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.Network;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Builder with the settings that all distributions have in common.
 *
 * @param <B> type of the concrete builder
 */
abstract class DistributionBuilder<B extends DistributionBuilder<B>> {
    private @Nullable Network network;
    private @Nullable Membership membership;
    private Clock clock = Clock.system();
    private @Nullable Scheduler scheduler;
    private @Nullable RandomGenerator random;
    private DistributionTimings timings = DistributionTimings.defaults();

    abstract B self();

    /** Sets the network with which {@code build()} registers the message handlers. */
    public B network(Network value) {
        network = value;
        return self();
    }

    /** Sets the source of the live peers, the gateways and the reader of each zone. */
    public B membership(Membership value) {
        membership = value;
        return self();
    }

    /** Sets the clock; defaults to the clock of the VM. */
    public B clock(Clock value) {
        clock = value;
        return self();
    }

    /** Sets the scheduler that runs timers and message handlers. */
    public B scheduler(Scheduler value) {
        scheduler = value;
        return self();
    }

    /** Sets the source of randomness for jitter and peer selection. */
    public B random(RandomGenerator value) {
        random = value;
        return self();
    }

    /** Sets the intervals and timeouts. */
    public B timings(DistributionTimings value) {
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
