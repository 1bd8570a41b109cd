package dev.zinniaring.calls;

import java.time.Duration;

/**
 * Settings for the calls that enter the mesh at a node.
 *
 * @param zone availability zone of the node
 * @param service service of the backend server on the same VM
 * @param peerAddress {@code ip:port} on which the node accepts calls from other nodes
 * @param retryRatio retries that this node may make per call
 * @param retryAllowance retries per window that all nodes together may make regardless of the
 *     number of calls
 * @param retryWindow length of the sliding window in which retries are counted
 */
public record EntrySettings(
        String zone,
        String service,
        String peerAddress,
        double retryRatio,
        double retryAllowance,
        Duration retryWindow) {}
