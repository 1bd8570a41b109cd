package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import dev.zinniaring.transport.Network;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** Dependencies and helpers that the components of a distribution share. */
record Context(
        Network network,
        Membership membership,
        Clock clock,
        Scheduler scheduler,
        RandomGenerator random,
        DistributionTimings timings,
        Mailbox mailbox) {
    // One read per 5 ms limits a starting fleet of any size to 200 reads per second.
    private static final Duration READ_INTERVAL = Duration.ofMillis(5);
    private static final int ASSUMED_FLEET_SIZE = 2_200;

    MemberView view() {
        return membership.view();
    }

    String zone() {
        return network.self().zone();
    }

    /** Runs a task in the mailbox once, after a delay. */
    Scheduler.Cancellable after(Duration delay, Runnable task) {
        return scheduler.after(delay, () -> mailbox.post(task));
    }

    /** Runs a task in the mailbox periodically. */
    Scheduler.Cancellable every(Duration period, Runnable task) {
        return scheduler.every(period, () -> mailbox.post(task));
    }

    /** Registers a handler for one type of message; the handler runs in the mailbox. */
    <M extends Message> void handle(
            MessageCodec<M> codec, BiConsumer<dev.zinniaring.transport.Peer, M> handler) {
        network.registerHandler(
                codec, (from, message) -> mailbox.post(() -> handler.accept(from, message)));
    }

    /** Returns a random delay between zero and {@code max}, inclusive. */
    Duration jitter(Duration max) {
        return Duration.ofMillis(random.nextLong(max.toMillis() + 1));
    }

    /**
     * Returns a random delay that is proportional to the size of the fleet, so that the platform
     * reads of all starting nodes together stay below a fixed rate. A node that knows no other node
     * yet may be part of a whole fleet that is restarting; it assumes a large fleet.
     */
    Duration fleetJitter() {
        int known = view().liveMembers().size();
        return jitter(READ_INTERVAL.multipliedBy(known > 1 ? known : ASSUMED_FLEET_SIZE));
    }
}
