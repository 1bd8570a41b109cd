package dev.zinniaring.calls;

import java.net.InetSocketAddress;

/**
 * What a node knows of the backend server beside it.
 *
 * @param serverId id of its life
 * @param address where it takes requests
 * @param slots requests that it runs at once
 * @param settings what operators declare about it
 * @param leaving whether it has said that it leaves
 */
public record LocalServer(
        String serverId,
        InetSocketAddress address,
        int slots,
        ServerSettings settings,
        boolean leaving) {}
