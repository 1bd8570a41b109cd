package dev.zinniaring.sidecar;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the sidecar process of a backend server.
 *
 * @param nodeId unique name of the node
 * @param zone availability zone
 * @param service service that the backend server runs
 * @param server address at which the backend server accepts requests
 * @param calls listen address for the calls of clients
 * @param peerCalls listen address for the calls and digests of other nodes
 * @param announcedPeerCalls address at which other nodes reach {@code peerCalls}; differs from it
 *     behind a proxy
 * @param readiness listen address of the readiness check
 * @param announcements listen address for the announcements of the backend server
 * @param operations listen address for metrics and state
 * @param grace time between the termination request and the forced kill
 * @param retryRatio retries per call of a service, over all nodes together
 * @param retryAllowance retries per window that are allowed regardless of the number of calls, over
 *     all nodes together
 * @param retryWindow length of the window over which retries are counted
 * @param control what nodes have to agree on beyond the configuration
 */
public record SidecarSettings(
        String nodeId,
        String zone,
        String service,
        InetSocketAddress server,
        InetSocketAddress calls,
        InetSocketAddress peerCalls,
        InetSocketAddress announcedPeerCalls,
        InetSocketAddress readiness,
        InetSocketAddress announcements,
        InetSocketAddress operations,
        Duration grace,
        double retryRatio,
        double retryAllowance,
        Duration retryWindow,
        ControlSettings control) {
    /** Creates the settings of a node that only follows the configuration. */
    public SidecarSettings(
            String nodeId,
            String zone,
            String service,
            InetSocketAddress server,
            InetSocketAddress calls,
            InetSocketAddress peerCalls,
            InetSocketAddress announcedPeerCalls,
            InetSocketAddress readiness,
            InetSocketAddress announcements,
            InetSocketAddress operations,
            Duration grace,
            double retryRatio,
            double retryAllowance,
            Duration retryWindow) {
        this(
                nodeId,
                zone,
                service,
                server,
                calls,
                peerCalls,
                announcedPeerCalls,
                readiness,
                announcements,
                operations,
                grace,
                retryRatio,
                retryAllowance,
                retryWindow,
                ControlSettings.NONE);
    }
}
