package dev.zinniaring.transport;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** The settings of a network. If {@code loop} is null, the network starts its own I/O thread. */
record NetworkSettings(
        String mesh,
        String nodeId,
        String zone,
        long incarnation,
        InetSocketAddress bind,
        Clock clock,
        Scheduler scheduler,
        RandomGenerator random,
        LinkConditions conditions,
        TransportLimits limits,
        @Nullable IoLoop loop) {}
