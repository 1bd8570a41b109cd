package dev.zinniaring.distribution;

import dev.zinniaring.model.EndpointState;
import java.util.function.Consumer;

/**
 * The endpoint records known to this node, and the publication of those of its local backend
 * servers.
 */
public interface Endpoints {
    /** Returns the current view; one atomic read. */
    EndpointView view();

    /** Registers a listener that is called after each change of the view. */
    void subscribe(Consumer<EndpointView> listener);

    /**
     * Publishes the state of a local backend server. Does nothing if it equals the last published
     * state.
     */
    void announce(LocalEndpoint server);

    /** Marks a local backend server as gone. */
    void withdraw(String serverId);

    /**
     * State of a local backend server as announced by it.
     *
     * @param serverId id of the server, unique in the mesh
     * @param service the service that it runs
     * @param slots number of calls that it runs concurrently
     * @param connections number of connections that it accepts
     * @param state whether it accepts calls
     * @param warmUpMillis time from its start until it receives its full share of calls, in
     *     milliseconds
     */
    record LocalEndpoint(
            String serverId,
            String service,
            int slots,
            int connections,
            EndpointState state,
            int warmUpMillis) {}
}
