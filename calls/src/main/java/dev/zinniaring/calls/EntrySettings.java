package dev.zinniaring.calls;

import java.time.Duration;

/**
 * Settings of the calls that enter at a node.
 *
 * @param zone availability zone of the node
 * @param service service of the backend server beside it
 * @param peerAddress {@code ip:port} at which the node takes calls of other nodes
 * @param repeatRatio repeats that this node may make for each call
 * @param repeatAllowance repeats of all nodes together that need no call, in one window
 * @param repeatWindow length of the window
 */
public record EntrySettings(
        String zone,
        String service,
        String peerAddress,
        double repeatRatio,
        double repeatAllowance,
        Duration repeatWindow) {}
