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
 * @param version version of its software, empty if unknown
 */
public record Announcement(
        String serverId,
        long bornMillis,
        long sequence,
        String service,
        InetSocketAddress address,
        int slots,
        boolean leaving,
        long coldMillis,
        String version) {
    /** Creates the announcement of a backend server that does not tell its version. */
    public Announcement(
            String serverId,
            long bornMillis,
            long sequence,
            String service,
            InetSocketAddress address,
            int slots,
            boolean leaving,
            long coldMillis) {
        this(serverId, bornMillis, sequence, service, address, slots, leaving, coldMillis, "");
    }
}
