package dev.zinniaring.node;

import dev.zinniaring.model.EndpointState;
import java.net.InetSocketAddress;

/**
 * An announcement that a backend server sends about itself.
 *
 * @param service the service that it runs
 * @param address the address at which it accepts calls
 * @param slots number of calls that it runs concurrently
 * @param connections number of connections that it accepts
 * @param warmUpMillis time from its start until it gets its full share of calls, in milliseconds
 * @param state its readiness
 * @param load number of its outstanding calls, as reported by itself
 */
record Announcement(
        String service,
        InetSocketAddress address,
        int slots,
        int connections,
        int warmUpMillis,
        EndpointState state,
        int load) {
    /** Returns this announcement with another state. */
    Announcement withState(EndpointState newState) {
        return new Announcement(service, address, slots, connections, warmUpMillis, newState, load);
    }
}
