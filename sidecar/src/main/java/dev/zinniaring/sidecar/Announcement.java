package dev.zinniaring.sidecar;

import java.net.InetSocketAddress;

/**
 * State that a backend server announces to its node. An incarnation is one run of the server
 * process. Of two announcements of one incarnation, the one with the higher sequence is newer; an
 * incarnation that started later replaces an earlier one.
 *
 * @param serverId id of the backend server
 * @param bornMillis start of its incarnation, in milliseconds since the epoch by its own clock
 * @param sequence number of the announcement within the incarnation
 * @param service service that it runs
 * @param address address at which it accepts requests
 * @param slots number of requests that it processes concurrently
 * @param leaving whether it is shutting down
 * @param coldMillis remaining warm-up time, in milliseconds; 0 once it is warm
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
