package dev.zinniaring.sidecar;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the process beside a backend server.
 *
 * @param nodeId unique name of the node
 * @param zone availability zone
 * @param service service of the backend server
 * @param server where the backend server takes requests
 * @param calls where callers send calls
 * @param peerCalls where other nodes send calls and digests
 * @param announcedPeerCalls where other nodes reach {@code peerCalls}; differs from it behind a
 *     proxy
 * @param readiness where the readiness is asked for
 * @param announcements where the backend server announces itself
 * @param operations where metrics and state are served
 * @param grace time between the request to end and the forced end
 * @param repeatRatio repeats of all nodes together for each call of a service
 * @param repeatAllowance repeats of all nodes together that need no call, in one window
 * @param repeatWindow length of the window
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
        double repeatRatio,
        double repeatAllowance,
        Duration repeatWindow) {}
