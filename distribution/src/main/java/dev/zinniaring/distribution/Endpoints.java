package dev.zinniaring.distribution;

import dev.zinniaring.model.EndpointState;
import java.util.function.Consumer;

/**
 * The endpoint records that this node knows, and those that it writes for its own backend servers.
 */
public interface Endpoints {
    /** Returns the present view; one atomic read. */
    EndpointView view();

    /** Registers a listener, which is called after each change of the view. */
    void subscribe(Consumer<EndpointView> listener);

    /**
     * Writes the record of a backend server beside this node; spread if it differs from the last
     * one.
     */
    void announce(LocalServer server);

    /** Marks a backend server beside this node as gone. */
    void withdraw(String serverId);

    /**
     * What a backend server beside this node announced.
     *
     * @param serverId unique in the mesh
     * @param service the service that it runs
     * @param slots calls that it runs at once
     * @param connections connections that it accepts
     * @param state what it can take
     * @param warmUpMillis time from its start to its full share, in milliseconds
     */
    record LocalServer(
            String serverId,
            String service,
            int slots,
            int connections,
            EndpointState state,
            int warmUpMillis) {}
}
