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

/** What the parts of a distribution share. */
record Context(
        Network network,
        Membership membership,
        Clock clock,
        Scheduler scheduler,
        RandomGenerator random,
        Timings timings,
        Mailbox mailbox) {
    // 200 reads/s for a fleet of any size.
    private static final Duration READ_SPREAD = Duration.ofMillis(5);
    private static final int UNKNOWN_FLEET = 2_200;

    MemberView view() {
        return membership.view();
    }

    String zone() {
        return network.self().zone();
    }

    /** Runs a task in the mailbox once after a delay. */
    Scheduler.Cancellable after(Duration delay, Runnable task) {
        return scheduler.after(delay, () -> mailbox.post(task));
    }

    /** Runs a task in the mailbox every period. */
    Scheduler.Cancellable every(Duration period, Runnable task) {
        return scheduler.every(period, () -> mailbox.post(task));
    }

    /** Handles one type of message in the mailbox. */
    <M extends Message> void handle(
            MessageCodec<M> codec, BiConsumer<dev.zinniaring.transport.Peer, M> handler) {
        network.handle(codec, (from, message) -> mailbox.post(() -> handler.accept(from, message)));
    }

    /** Returns a random delay of up to {@code max}. */
    Duration jitter(Duration max) {
        return Duration.ofMillis(random.nextLong(max.toMillis() + 1));
    }

    /**
     * Returns a random delay that grows with the fleet, so that the reads of the platform by all
     * starting nodes together keep to one rate. A node that knows no other yet may be one of a
     * whole fleet that restarts.
     */
    Duration turn() {
        int known = view().live().size();
        return jitter(READ_SPREAD.multipliedBy(known > 1 ? known : UNKNOWN_FLEET));
    }
}
