package dev.zinniaring.sidecar;

import java.net.InetSocketAddress;

/**
 * What a backend server says of itself. Of two announcements of one life, the one with the higher
 * sequence is newer; a life that was born later replaces an earlier one.
 *
 * @param serverId id of the backend server
 * @param bornMillis start of its life, in milliseconds since the epoch by its own clock
 * @param sequence counts the announcements of this life
 * @param service service that it runs
 * @param address where it takes requests
 * @param slots requests that it runs at once
 * @param leaving whether it will end
 * @param coldMillis time for which it stays slow after its start, in milliseconds
 */
public record Announcement(
        String serverId,
        long bornMillis,
        long sequence,
        String service,
        InetSocketAddress address,
        int slots,
        boolean leaving,
        long coldMillis) {}
