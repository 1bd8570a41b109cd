package dev.zinniaring.node;

import dev.zinniaring.model.EndpointState;
import java.net.InetSocketAddress;

/**
 * What a backend server says of itself.
 *
 * @param service the service that it runs
 * @param address where it takes calls
 * @param slots calls that it runs at once
 * @param connections connections that it accepts
 * @param warmUpMillis time from its start to its full share, in milliseconds
 * @param state what it can take
 * @param load calls that it has, as it says
 */
record Announcement(
        String service,
        InetSocketAddress address,
        int slots,
        int connections,
        int warmUpMillis,
        EndpointState state,
        int load) {}
