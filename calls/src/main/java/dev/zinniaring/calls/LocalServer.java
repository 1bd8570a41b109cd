package dev.zinniaring.calls;

import java.net.InetSocketAddress;

/**
 * State of the backend server that runs on the same VM as this node.
 *
 * @param serverId id of the server instance; a restarted server gets a new one
 * @param address address on which it accepts requests
 * @param slots number of requests that it runs concurrently
 * @param settings settings declared by operators
 * @param leaving whether it has announced that it is shutting down
 */
public record LocalServer(
        String serverId,
        InetSocketAddress address,
        int slots,
        ServerSettings settings,
        boolean leaving) {}
